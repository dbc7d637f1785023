package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/**
 * Runs one case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case
 * could not run.
 */
public final class Main {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	private static final Map<String, Case> CASES = Map.of("head", new HeadCase(), "silent-store",
			new SilentStoreCase(), "slow-reader", new SlowReaderCase(), "lost-balance", new LostBalanceCase(),  "stale-config", new StaleConfigCase());

	/** A part of the loopback range that no other run uses. */
	private static final String NETWORK = "127." + ThreadLocalRandom.current().nextInt(16, 240) + "."
			+ ThreadLocalRandom.current().nextInt(1, 255) + ".";

	private Main() {
	}

	/** Returns a loopback address. */
	static String ip(int host) {
		return NETWORK + host;
	}

	public static void main(String[] args) {
		int code = NOT_RUN;
		try (Record record = new Record(Path.of(args[1]))) {
			Path folder = Files.createTempDirectory("review-");
			try {
				code = CASES.get(args[0]).run(record, folder, !"0".equals(args[2]));
			}
			catch (Exception ex) {
				record.result("the case could not run: " + ex);
			}
			finally {
				if (System.getenv("KEEP") == null) {
					delete(folder);
				}
			}
			record.result(switch (code) {
				case HELD -> "the rule held";
				case BROKEN -> "the rule was broken";
				default -> "the case could not run";
			});
		}
		catch (IOException ex) {
			System.out.println("the record cannot be written: " + ex);
			code = NOT_RUN;
		}
		System.exit(code);
	}

	private static void delete(Path folder) throws IOException {
		try (Stream<Path> files = Files.walk(folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
	}

	/** A case. It ends the processes that it started. */
	interface Case {

		int run(Record record, Path folder, boolean trouble) throws Exception;

	}

}
