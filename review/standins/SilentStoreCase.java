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
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections of the routers to the store go silent for good while new ones work
 * at once. Just after that, the store removes the entry of a server that leaves and goes
 * on serving. Shows whether requests reach that server later than the bound after the
 * store has acknowledged that it is gone, taken and sent on by routers that are in touch
 * again.
 */
final class SilentStoreCase implements Main.Case {

	private static final double TOUCH_S = 3.0;

	/** One of eight servers leaves, which is 0.125 of them. */
	private static final int SERVERS = 8;

	private static final double DRAIN_S = 2.0;

	private static final double REMOVAL_DELAY_S = 0.3;

	private static final int ROUTERS = 2;

	/** Clients of each router, each with a kept connection. */
	private static final int CALLERS = 6;

	private static final long PAUSE_MS = 60;

	private static final long WORK_MS = 60;

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
					.replace("@TENANTS@", "{\"name\":\"t\",\"apiKeys\":[\"key-a\"],\"priority\":1}"));
		List<Arrival> arrivals = new CopyOnWriteArrayList<>();
		List<Server> servers = new ArrayList<>();
		AtomicInteger listed = new AtomicInteger(SERVERS);
		for (int i = 0; i < SERVERS; i++) {
			servers.add(new Server("i-" + i, Main.ip(11 + i), new Desk(record, arrivals)));
			store.put("servers", "i-" + i, servers.get(i).entry("desk", 6, "ready", 1));
		}
		Link.daemon(() -> beat(store, servers, listed));
		Link link = new Link(Main.ip(2), new InetSocketAddress(Main.ip(1), store.port()), 0);
		for (int i = 0; i < ROUTERS; i++) {
			Router router = new Router(folder, "front-" + i, Main.ip(21 + i), Main.ip(2) + ":" + link.port(),
					List.of(Main.ip(21), Main.ip(22)));
			routers.add(router);
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
				String name = "q" + router.ip.replace(".", "") + "x" + i;
				Thread thread = new Thread(() -> call(record, router, name, sent, running));
				thread.start();
				callers.add(thread);
			}
		}
		Thread.sleep(12_000);
		double troubleAt = record.seconds();
		if (trouble) {
			record.add("trouble: " + link.silence() + " open connections to the store are silent from now on");
		}
		Thread.sleep((long) (REMOVAL_DELAY_S * 1_000));
		listed.set(SERVERS - 1);
		Thread.sleep(20);
		store.remove("servers", "i-7");
		double goneAt = record.seconds();
		record.add("the store has removed the entry of i-7, which goes on serving");
		Thread.sleep(9_000);
		running[0] = false;
		for (Thread thread : callers) {
			thread.join();
		}
		double inTouchAt = trouble ? troubleAt + TOUCH_S : 0;
		List<Arrival> late = arrivals.stream()
			.filter((arrival) -> arrival.server.equals("i-7") && arrival.atS > goneAt + DRAIN_S)
			.filter((arrival) -> sent.stream()
				.anyMatch((request) -> request.id.equals(arrival.id) && request.atS > inTouchAt))
			.toList();
		long total = arrivals.stream().filter((arrival) -> arrival.atS > goneAt).count();
		long answered = sent.stream().filter((request) -> request.status == 200).count();
		record.result(String.format(Locale.ROOT,
				"sent %d, answered 200 %d; after the removal %d requests arrived, %d of them at i-7 later than %.1f s after it, sent when the routers had been in touch again",
				sent.size(), answered, total, late.size(), DRAIN_S));
		late.stream()
			.mapToDouble(Arrival::atS)
			.max()
			.ifPresent((last) -> record.result(String.format(Locale.ROOT, "the last one %.3f s after the removal, %.3f s after the trouble",
					last - goneAt, last - troubleAt)));
		if (answered < sent.size() * 0.5) {
			return Main.NOT_RUN;
		}
		return late.isEmpty() ? Main.HELD : Main.BROKEN;
	}

	private static void beat(Store store, List<Server> servers, AtomicInteger listed) {
		for (int beat = 2;; beat++) {
			for (int i = 0; i < listed.get(); i++) {
				store.put("servers", "i-" + i, servers.get(i).entry("desk", 6, "ready", beat));
				sleep(1_200 / servers.size());
			}
		}
	}

	private static void call(Record record, Router router, String name, List<Sent> sent, boolean[] running) {
		Caller caller = null;
		for (int i = 0; running[0]; i++) {
			String id = name + "x" + i;
			double atS = record.seconds();
			int status = 0;
			try {
				if (caller == null) {
					caller = new Caller(router.ip, 8740, 0);
				}
				caller.send("GET", "/status/1", id, "key-a", 4_000, "", "");
				Http.Head head = Http.head(caller.in);
				Http.body(head, caller.in);
				status = head.status();
				if (!head.headers().getOrDefault("connection", "").isEmpty()) {
					caller.close();
					caller = null;
				}
			}
			catch (IOException | RuntimeException ex) {
				caller = null;
			}
			record.add("request " + id + " sent at " + String.format(Locale.ROOT, "%.3f", atS) + " answered " + status);
			sent.add(new Sent(id, atS, status));
			sleep(PAUSE_MS);
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

	private record Sent(String id, double atS, int status) {
	}

	private record Arrival(String server, String id, double atS) {
	}

	private record Desk(Record record, List<Arrival> arrivals) implements Server.Handler {

		@Override
		public boolean handle(Server server, Http.Head head, byte[] body, OutputStream out) throws IOException {
			String id = head.header("requestId");
			this.arrivals.add(new Arrival(server.id, id, this.record.seconds()));
			this.record.add("server " + server.id + " runs " + id);
			sleep(WORK_MS);
			byte[] answer = "status".getBytes(StandardCharsets.ISO_8859_1);
			out.write((Server.answerHead(head) + "Content-Length: " + answer.length + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.write(answer);
			return true;
		}

	}

}
