package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Two routers lose power in turn for 3.5 s, four times in all, and then both at once for
 * 1.4 s as the final fault, while a tenant uses its prepaid tokens. Shows whether less
 * than a quarter of the requests is served from 12 s after the routers are back. Counts
 * also the requests that are refused with 402 although the tenant has the tokens: what
 * all its requests that reached a server can have used at most, and the request at its
 * most, fit into 97 in 100 of its prepaid tokens.
 */
final class LostBalanceCase implements Main.Case {

	private static final int ROUTERS = 2;

	private static final int CALLERS = 4;

	private static final int PROMPT_TOKENS = 400;

	private static final int OUTPUT_TOKENS = 40;

	private static final int TOKENS_PER_EVENT = 4;

	private static final long EVENT_MS = 10;

	private static final long PAUSE_MS = 280;

	private static final long PREPAID_TOKENS = 580_000;

	/** The share of the prepaid tokens up to which requests are owed. */
	private static final double OWED_SHARE = 0.97;

	private static final long DARK_MS = 3_500;

	private static final double TOUCH_S = 3;

	private static final long FINAL_DARK_MS = 1_400;

	private static final double[] POWER_LOSSES_S = { 8, 16, 24, 32 };

	private static final double FINAL_FAULT_S = 40;

	private static final double RECOVER_S = 12;

	private static final double END_S = 61;

	@Override
	public int run(Record record, Path folder, boolean trouble) throws Exception {
		List<Router> routers = new ArrayList<>();
		try {
			return play(record, folder, routers, trouble);
		}
		finally {
			routers.forEach(Router::close);
		}
	}

	private static int play(Record record, Path folder, List<Router> routers, boolean trouble) throws Exception {
		Store store = new Store(Main.ip(1));
		store.put("op", "config",
				Wire.text("config.json")
					.replace("@VERSION@", "7")
					.replace("@PLAINTIMEOUT@", "2000")
					.replace("@TENANTS@", "{\"name\":\"t\",\"apiKeys\":[\"key-a\"],\"priority\":1,\"prepaid\":"
							+ PREPAID_TOKENS + "}"));
		Map<String, Double> ran = new ConcurrentHashMap<>();
		List<Server> servers = new ArrayList<>();
		for (int i = 0; i < 2; i++) {
			servers.add(new Server("i-" + i, Main.ip(11 + i), new Model(record, ran)));
		}
		Link.daemon(() -> beat(store, servers));
		for (int i = 0; i < ROUTERS; i++) {
			Router router = new Router(folder, "front-" + i, Main.ip(21 + i), Main.ip(1) + ":" + store.port(),
					List.of(Main.ip(21), Main.ip(22)));
			routers.add(router);
			router.start();
		}
		for (Router router : routers) {
			if (!router.awaitReady(30_000)) {
				return Main.NOT_RUN;
			}
		}
		List<Outcome> outcomes = new CopyOnWriteArrayList<>();
		boolean[] running = { true };
		List<Thread> callers = new ArrayList<>();
		for (Router router : routers) {
			for (int i = 0; i < CALLERS; i++) {
				String name = "c" + router.ip.replace(".", "") + "x" + i;
				Thread caller = new Thread(() -> call(record, router, name, outcomes, running));
				caller.start();
				callers.add(caller);
			}
		}
		double startS = record.seconds();
		for (int i = 0; i < POWER_LOSSES_S.length; i++) {
			sleepUntil(record, startS + POWER_LOSSES_S[i]);
			if (trouble) {
				Router router = routers.get(i % ROUTERS);
				record.add("trouble: " + router.ip + " loses power");
				router.kill();
				Thread.sleep(DARK_MS);
				router.start();
				router.awaitReady(10_000);
				record.add(router.ip + " is ready again");
			}
		}
		sleepUntil(record, startS + FINAL_FAULT_S);
		double faultS = record.seconds();
		if (trouble) {
			record.add("trouble: final fault, all routers lose power");
			for (Router router : routers) {
				router.kill();
			}
			Thread.sleep(FINAL_DARK_MS);
			for (Router router : routers) {
				router.start();
			}
			for (Router router : routers) {
				router.awaitReady(10_000);
			}
			record.add("all routers are ready again");
		}
		double backS = record.seconds();
		sleepUntil(record, startS + END_S);
		running[0] = false;
		for (Thread caller : callers) {
			caller.join();
		}
		return judge(record, outcomes, ran.values(), faultS, backS);
	}

	private static int judge(Record record, List<Outcome> outcomes, Collection<Double> runs, double faultS,
			double backS) {
		long most = PROMPT_TOKENS + OUTPUT_TOKENS;
		record.result(String.format(Locale.ROOT,
				"%d requests reached a server and used %d tokens at most, %.1f in 100 of the prepaid tokens", runs.size(),
				runs.size() * most, 100.0 * runs.size() * most / PREPAID_TOKENS));
		long denied = 0;
		for (Outcome outcome : outcomes) {
			long usedAtMost = runs.stream().filter((atS) -> atS < outcome.endS).count() * most;
			if (outcome.status == 402 && outcome.sentS > backS + TOUCH_S
					&& usedAtMost + most <= PREPAID_TOKENS * OWED_SHARE) {
				denied++;
			}
		}
		record.result(denied + " requests, sent 3 s after the final fault or later, answered 402 although the tokens sufficed");
		double before = servedShare(outcomes, faultS - 5, faultS);
		double after = servedShare(outcomes, backS + RECOVER_S, Double.MAX_VALUE);
		record.result(String.format(Locale.ROOT,
				"served: %.3f of the requests in the 5 s before the final fault, %.3f of those later than %.0f s after the routers were back",
				before, after, RECOVER_S));
		if (before < 0.25) {
			return Main.NOT_RUN;
		}
		return (after < 0.25) ? Main.BROKEN : Main.HELD;
	}

	private static double servedShare(List<Outcome> outcomes, double fromS, double toS) {
		List<Outcome> sent = outcomes.stream()
			.filter((outcome) -> outcome.sentS >= fromS && outcome.sentS < toS)
			.toList();
		return sent.isEmpty() ? 0
				: (double) sent.stream().filter((outcome) -> outcome.status == 200).count() / sent.size();
	}

	private static void call(Record record, Router router, String name, List<Outcome> outcomes, boolean[] running) {
		Caller caller = null;
		for (int i = 0; running[0]; i++) {
			String id = name + "x" + i;
			double sentS = record.seconds();
			int status = 0;
			try {
				if (caller == null) {
					caller = new Caller(router.ip, 8740, 0);
				}
				caller.send("POST", "/chat/1", id, "key-a", 15_000,
						Wire.name("usage") + ": " + PROMPT_TOKENS + "," + OUTPUT_TOKENS + "\r\n" + Wire.name("prefix")
								+ ": 5c1e07a2:300," + Integer.toHexString(id.hashCode()) + ":100\r\n",
						"{}");
				Http.Head head = Http.head(caller.in);
				Http.body(head, caller.in);
				status = head.status();
				if (head.headers().getOrDefault("connection", "").equals("close")) {
					caller.close();
					caller = null;
				}
			}
			catch (IOException | RuntimeException ex) {
				caller = null;
			}
			outcomes.add(new Outcome(sentS, record.seconds(), status));
			record.add("request " + id + " sent at " + String.format(Locale.ROOT, "%.3f", sentS) + " answered " + status);
			sleep(PAUSE_MS);
		}
	}

	private static void beat(Store store, List<Server> servers) {
		for (int beat = 1;; beat++) {
			for (Server server : servers) {
				store.put("servers", server.id, server.entry("pool", 64, "ready", beat));
			}
			sleep(1_200);
		}
	}

	private static void sleepUntil(Record record, double atS) {
		sleep(Math.max(0, (long) ((atS - record.seconds()) * 1_000)));
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record Outcome(double sentS, double endS, int status) {
	}

	private record Model(Record record, Map<String, Double> ran) implements Server.Handler {

		@Override
		public boolean handle(Server server, Http.Head head, byte[] body, OutputStream out) throws IOException {
			if (head.start().startsWith("GET /report ")) {
				byte[] report = ("{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
						+ "\"busy\":false,\"seq\":1,\"waiting\":0,\"running\":1,\"kvUsed\":1000,\"kvTotal\":340832,"
						+ "\"handles\":0,\"born\":1764950000000}")
					.getBytes(StandardCharsets.ISO_8859_1);
				out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + report.length
						+ "\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				out.write(report);
				return true;
			}
			String id = head.header("requestId");
			this.ran.put(id, this.record.seconds());
			this.record.add("server " + server.id + " runs " + id);
			out.write((Server.answerHead(head)
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			for (int i = 1; i <= OUTPUT_TOKENS / TOKENS_PER_EVENT; i++) {
				sleep(EVENT_MS);
				String event = "id: " + i + "\ndata: token token token token\n\n";
				out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				out.flush();
			}
			out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			return true;
		}

	}

}
