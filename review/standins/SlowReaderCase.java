package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Clients on slow links read long answers when the router gets SIGTERM. The server has
 * sent each answer whole, and the clients would have it well within the grace period.
 * Shows whether answers end before they are complete.
 */
final class SlowReaderCase implements Main.Case {

	private static final int CLIENTS = 160;

	private static final int MIN_ANSWER_BYTES = 4_500_000;

	private static final int ANSWER_RANGE_BYTES = 1_500_000;

	/** Spreads the sizes of the answers over the range. */
	private static final int ANSWER_STEP_BYTES = 927_050;

	private static final int BYTES_PER_S = 1_000_000;

	private static final long STAGGER_MS = 20;

	@Override
	public int run(Record record, Path folder, boolean trouble) throws Exception {
		Store store = new Store(Main.ip(1));
		store.put("op", "config",
				Wire.text("config.json")
					.replace("@VERSION@", "7")
					.replace("@PLAINTIMEOUT@", "15000")
					.replace("@TENANTS@", "{\"name\":\"t\",\"apiKeys\":[\"key-a\"],\"priority\":1}"));
		Map<String, Double> ended = new ConcurrentHashMap<>();
		List<Server> servers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			servers.add(new Server("i-" + i, Main.ip(11 + i), new Desk(record, ended)));
		}
		Link.daemon(() -> beat(store, servers));
		try (Router router = new Router(folder, "front-0", Main.ip(21), Main.ip(1) + ":" + store.port(),
				List.of(Main.ip(21)))) {
			router.start();
			if (!router.awaitReady(30_000)) {
				return Main.NOT_RUN;
			}
			Thread.sleep(2_000);
			return play(record, router, ended, trouble);
		}
	}

	private static int play(Record record, Router router, Map<String, Double> ended, boolean trouble)
			throws Exception {
		Link link = new Link(Main.ip(31), new InetSocketAddress(router.ip, 8740), BYTES_PER_S);
		List<Outcome> outcomes = new CopyOnWriteArrayList<>();
		List<Thread> threads = new ArrayList<>();
		double termAt = 0;
		for (int i = 0; i < CLIENTS; i++) {
			String id = "r" + i;
			Thread thread = new Thread(() -> outcomes.add(call(record, link, id)));
			thread.start();
			threads.add(thread);
			Thread.sleep(STAGGER_MS);
			if (i == CLIENTS * 7 / 10) {
				termAt = record.seconds();
				if (trouble) {
					record.add("trouble: SIGTERM to the router");
					router.terminate();
				}
			}
		}
		for (Thread thread : threads) {
			thread.join();
		}
		int cut = 0;
		int complete = 0;
		for (Outcome outcome : outcomes) {
			Double end = ended.get(outcome.id);
			record.add(String.format(Locale.ROOT, "request %s: %s at %.3f; the server had sent the whole answer at %s", outcome.id,
					outcome.result, outcome.endS, (end != null) ? String.format(Locale.ROOT, "%.3f", end) : "no time"));
			if (outcome.complete) {
				complete++;
			}
			else if (end != null && end < outcome.endS) {
				cut++;
			}
		}
		record.result(String.format(Locale.ROOT,
				"%d requests, %d complete, %d cut off although the server had sent the whole answer; SIGTERM at %.3f",
				outcomes.size(), complete, cut, trouble ? termAt : -1));
		if (cut > 0) {
			return Main.BROKEN;
		}
		return (complete == CLIENTS) ? Main.HELD : Main.NOT_RUN;
	}

	private static Outcome call(Record record, Link link, String id) {
		double firstS = -1;
		try (Caller caller = new Caller(Main.ip(31), link.port(), 8_192)) {
			record.add("request " + id + " sent");
			caller.send("GET", "/status/long", id, "key-a", 15_000, "", "");
			Http.Head head = Http.head(caller.in);
			firstS = record.seconds();
			byte[] body = Http.body(head, caller.in);
			boolean whole = head.status() == 200 && body.length == answerBytes(id);
			return new Outcome(id, whole, head.status() + " with " + body.length + " bytes", record.seconds());
		}
		catch (IOException | RuntimeException ex) {
			return new Outcome(id, false, "broken off: " + ex.getMessage(), record.seconds());
		}
	}

	private static int answerBytes(String id) {
		long number = Long.parseLong(id.substring(1));
		return MIN_ANSWER_BYTES + (int) (number * ANSWER_STEP_BYTES % ANSWER_RANGE_BYTES);
	}

	private static void beat(Store store, List<Server> servers) {
		for (int beat = 1;; beat++) {
			for (Server server : servers) {
				store.put("servers", server.id, server.entry("desk", 24, "ready", beat));
			}
			try {
				Thread.sleep(1_200);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private record Outcome(String id, boolean complete, String result, double endS) {
	}

	private record Desk(Record record, Map<String, Double> ended) implements Server.Handler {

		@Override
		public boolean handle(Server server, Http.Head head, byte[] body, OutputStream out) throws IOException {
			String id = head.header("requestId");
			this.record.add("server " + server.id + " runs " + id);
			int length = answerBytes(id);
			out.write((Server.answerHead(head) + "Content-Length: " + length + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.write(new byte[length]);
			out.flush();
			this.ended.put(id, this.record.seconds());
			this.record.add("server " + server.id + " has sent the whole answer to " + id);
			return true;
		}

	}

}
