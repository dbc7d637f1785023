import java.nio.file.Path;
import java.util.Map;

/**
 * Runs one case: {@code Main REPOSITORY CASE}. Exits with 1 if the rule was broken, 0 if
 * it held, and 2 if the case could not run.
 */
public final class Main {

	private static final Map<String, Case> CASES = Map.of("6", new RestartBeforeConfiguration(), "7",
			new ManyTenants(), "8", new LargeBodies(), "9", new SmuggledRequest(), "10", new StutteringAnswers());

	private Main() {
	}

	public static void main(String[] args) {
		int code = 2;
		try {
			Path repository = Path.of(args[0]).toRealPath();
			Wire.load(repository.resolve("review/kit-2"));
			boolean trouble = !"0".equals(System.getenv("TROUBLE"));
			try (Record record = new Record(repository.resolve("review/" + args[1] + "/record.txt"))) {
				record.line("case %s, disruption: %b", args[1], trouble);
				boolean kept;
				try (Bench bench = new Bench(repository, record)) {
					kept = CASES.get(args[1]).play(bench, trouble);
				}
				record.say("%s", kept ? "the rule held" : "the rule was broken");
				code = kept ? 0 : 1;
			}
		}
		catch (Exception ex) {
			System.out.println("the case could not run: " + ex);
			ex.printStackTrace();
		}
		System.exit(code);
	}

}
