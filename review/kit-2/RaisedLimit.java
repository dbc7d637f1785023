import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A new configuration allows larger bodies, and clients go on with their connections. */
final class RaisedLimit implements Case {

	private static final int CLIENTS = 20;

	private static final int ROUNDS = 3;

	private static final int OLD_LIMIT = 1_048_576;

	private static final int NEW_LIMIT = 4_194_304;

	private static final int BODY_BYTES = 2_000_000;

	/** The bound of configuration, and the time after which all machines are in touch. */
	private static final int APPLY_MS = 2_000;

	private static final int TOUCH_MS = 3_000;

	@Override
	public boolean play(Bench bench, boolean trouble) throws Exception {
		bench.server(Bench.DESK, "i-02d9e6b4", 1, 0);
		Router router = bench.router();
		bench.store.put("op", "config", Config.of(3, 10, 2_000_000, trouble ? OLD_LIMIT : NEW_LIMIT));
		bench.start(router, true);
		router.awaitReady(200, 20_000);
		Thread.sleep(TOUCH_MS);
		List<Caller> callers = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			Caller caller = new Caller(router.host());
			callers.add(caller);
			Caller.Answer answer = caller.call(Config.lookup("b%04d".formatted(i), i % 10));
			bench.record.line("client %d: first request answered %d", i, answer.status());
		}
		bench.store.put("op", "config", Config.of(7, 10, 2_000_000, NEW_LIMIT));
		Thread.sleep(APPLY_MS + TOUCH_MS);
		int sent = 0;
		int denied = 0;
		int served = 0;
		for (int round = 0; round < ROUNDS; round++) {
			for (int i = 0; i < CLIENTS; i++) {
				Caller.Request request = Config.lookup("POST", "a%d%03d".formatted(round, i), i % 10, new byte[BODY_BYTES]);
				sent++;
				try {
					Caller.Answer answer = callers.get(i).call(request);
					denied += (answer.status() == 413) ? 1 : 0;
					served += (answer.status() == 200) ? 1 : 0;
					bench.record.line("client %d: %s answered %d %s", i, request.id, answer.status(),
							(answer.status() == 200) ? "" : answer.body());
				}
				catch (IOException ex) {
					bench.record.line("client %d: %s: %s", i, request.id, ex);
				}
			}
		}
		for (Caller caller : callers) {
			caller.close();
		}
		int allowed = 5 + (sent + CLIENTS) / 500;
		bench.record.say("later than %d ms after version 7: %d requests of %d bytes, %d served, %d answered 413, the "
				+ "rule bears %d", APPLY_MS, sent, BODY_BYTES, served, denied, allowed);
		return denied <= allowed;
	}

}
