package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The store turns one of three routers away for 8 s, while the configuration changes twice
 * in quick succession. That router has a link of 7 Mbit/s to the store. When all machines
 * have been in touch again, a version removes a route. Shows whether a router still serves
 * requests on that route later than the bound after the store has acknowledged it.
 */
final class StaleConfigCase implements Main.Case {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int IDLE_ROUTES = 240;

	/** A row of the store holds at most this. */
	private static final int ROW_BYTES = 65_536;

	private static final int STORMS = 2;

	private static final int STORM_VERSIONS = 21;

	private static final long STORM_GAP_MS = 180;

	/** The smallest hosts have 7 Mbit/s. */
	private static final int BYTES_PER_S = 875_000;

	private static final long OUTAGE_MS = 8_000;

	/** The bound after which machines and store count as undisturbed, and some more. */
	private static final long TOUCH_MS = 4_500;

	private static final double APPLY_S = 3;

	private static final int CALLERS = 3;

	private static final long PAUSE_MS = 100;

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
		int version = 7;
		store.put("op", "config", config(version, true));
		int bytes = config(version, true).length();
		record.add("the configuration has " + bytes + " bytes");
		if (bytes > ROW_BYTES) {
			record.result("the configuration is larger than a row");
			return Main.NOT_RUN;
		}
		List<Server> servers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			servers.add(new Server("i-" + i, Main.ip(11 + i), new Desk(record)));
		}
		Link.daemon(() -> beat(store, servers));
		Link link = new Link(Main.ip(2), new InetSocketAddress(store.secondAddress(Main.ip(3)), store.secondPort()),
				BYTES_PER_S);
		List<String> seeds = List.of(Main.ip(21), Main.ip(22), Main.ip(23));
		routers.add(new Router(folder, "front-small", Main.ip(21), Main.ip(2) + ":" + link.port(), seeds));
		routers.add(new Router(folder, "front-large", Main.ip(22), Main.ip(1) + ":" + store.port(), seeds));
		routers.add(new Router(folder, "front-third", Main.ip(23), Main.ip(1) + ":" + store.port(), seeds));
		for (Router router : routers) {
			router.start();
		}
		for (Router router : routers) {
			if (!router.awaitReady(30_000)) {
				record.result("a router did not become ready");
				return Main.NOT_RUN;
			}
		}
		List<Sent> sent = new CopyOnWriteArrayList<>();
		boolean[] running = { true };
		List<Thread> callers = new ArrayList<>();
		for (Router router : routers) {
			for (int i = 0; i < CALLERS; i++) {
				String name = "s" + router.ip.replace(".", "") + "x" + i;
				Thread caller = new Thread(() -> call(record, router, name, sent, running));
				caller.start();
				callers.add(caller);
			}
		}
		Thread.sleep(6_000);
		double startS = record.seconds();
		if (trouble) {
			record.add("trouble: the store turns " + Main.ip(21) + " away");
			store.turnSecondAway(true);
			for (int i = 0; i < STORMS * STORM_VERSIONS; i++) {
				version++;
				store.put("op", "config", config(version, true));
				record.add("the store has acknowledged version " + version);
				Thread.sleep(STORM_GAP_MS);
			}
		}
		Thread.sleep(Math.max(0, OUTAGE_MS - (long) ((record.seconds() - startS) * 1_000)));
		store.turnSecondAway(false);
		record.add("the store serves all routers");
		Thread.sleep(TOUCH_MS);
		version++;
		store.put("op", "config", config(version, false));
		double ackedS = record.seconds();
		record.add("the store has acknowledged version " + version + ", which removes /status/");
		Thread.sleep(20_000);
		running[0] = false;
		for (Thread caller : callers) {
			caller.join();
		}
		long before = sent.stream().filter((request) -> request.sentS < ackedS && request.status == 200).count();
		List<Sent> late = sent.stream()
			.filter((request) -> request.sentS > ackedS + APPLY_S && request.status == 200)
			.toList();
		record.result(String.format(Locale.ROOT,
				"%d requests, %d served before the removal; %d sent later than %.0f s after it and served all the same, the last one %.3f s after it",
				sent.size(), before, late.size(), APPLY_S,
				late.stream().mapToDouble(Sent::sentS).max().orElse(ackedS) - ackedS));
		if (before < 50) {
			return Main.NOT_RUN;
		}
		return late.isEmpty() ? Main.HELD : Main.BROKEN;
	}

	private static String config(int version, boolean withStatus) throws IOException {
		ObjectNode config = (ObjectNode) MAPPER.readTree(Wire.text("config.json")
			.replace("@VERSION@", Integer.toString(version))
			.replace("@PLAINTIMEOUT@", "2000")
			.replace("@TENANTS@", "{\"name\":\"t\",\"apiKeys\":[\"key-a\"],\"priority\":1}"));
		ArrayNode routes = config.withArray("routes");
		ObjectNode pattern = null;
		for (int i = routes.size() - 1; i >= 0; i--) {
			if (routes.get(i).path("name").asText().equals("r-status")) {
				pattern = routes.get(i).deepCopy();
				if (!withStatus) {
					routes.remove(i);
				}
			}
		}
		for (int i = 0; i < IDLE_ROUTES && pattern != null; i++) {
			ObjectNode route = pattern.deepCopy();
			route.put("name", "r-idle" + i).put("pathPrefix", "/idle" + i + "/");
			if (i == version) {
				route.put("timeoutMs", 1_900);
			}
			routes.add(route);
		}
		return config.toString();
	}

	private static void call(Record record, Router router, String name, List<Sent> sent, boolean[] running) {
		Caller caller = null;
		for (int i = 0; running[0]; i++) {
			String id = name + "x" + i;
			double sentS = record.seconds();
			int status = 0;
			try {
				if (caller == null) {
					caller = new Caller(router.ip, 8740, 0);
				}
				caller.send("GET", "/status/1", id, "key-a", 4_000, "", "");
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
			record.add("request " + id + " sent at " + String.format(Locale.ROOT, "%.3f", sentS) + " answered " + status);
			sent.add(new Sent(sentS, status));
			sleep(PAUSE_MS);
		}
	}

	private static void beat(Store store, List<Server> servers) {
		for (int beat = 1;; beat++) {
			for (Server server : servers) {
				store.put("servers", server.id, server.entry("desk", 6, "ready", beat));
			}
			sleep(1_200);
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record Sent(double sentS, int status) {
	}

	private record Desk(Record record) implements Server.Handler {

		@Override
		public boolean handle(Server server, Http.Head head, byte[] body, OutputStream out) throws IOException {
			this.record.add("server " + server.id + " runs " + head.header("requestId"));
			byte[] answer = "status".getBytes(StandardCharsets.ISO_8859_1);
			out.write((Server.answerHead(head) + "Content-Length: " + answer.length + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.write(answer);
			return true;
		}

	}

}
