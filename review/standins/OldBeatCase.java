package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server writes its entry; the store does not answer that call and performs it 5.8 s
 * later. Meanwhile the server has written newer entries and has left: its entry is removed
 * while the store has been stable for 3 s, and it goes on serving. Shows whether requests
 * reach it later than the bound after its removal, once the late entry, with a lower
 * sequence number than the removed one, is back in the store.
 */
final class OldBeatCase implements Main.Case {

	/** One of eight servers leaves, which is 0.125 of them. */
	private static final int SERVERS = 8;

	private static final double DRAIN_S = 2.0;

	private static final long LATE_MS = 5_800;

	private static final long REMOVAL_DELAY_MS = 3_300;

	/** Three intervals of 1.2 s without a write, after which the store drops an entry. */
	private static final long LAPSE_MS = 3_600;

	private static final int CALLERS = 6;

	private static final long PAUSE_MS = 60;

	private static final long WORK_MS = 60;

	@Override
	public int run(Record record, Path folder, boolean trouble) throws Exception {
		Store store = new Store(Main.ip(1));
		store.put("op", "config",
				Wire.text("config.json")
					.replace("@VERSION@", "7")
					.replace("@PLAINTIMEOUT@", "2000")
					.replace("@TENANTS@", "{\"name\":\"t\",\"apiKeys\":[\"key-a\"],\"priority\":1}"));
		List<Arrival> arrivals = new CopyOnWriteArrayList<>();
		List<Server> servers = new ArrayList<>();
		AtomicInteger listed = new AtomicInteger(SERVERS);
		AtomicInteger beats = new AtomicInteger(1);
		for (int i = 0; i < SERVERS; i++) {
			servers.add(new Server("i-" + i, Main.ip(11 + i), new Desk(record, arrivals)));
			store.put("servers", "i-" + i, servers.get(i).entry("desk", 6, "ready", 1));
		}
		Link.daemon(() -> beat(store, servers, listed, beats));
		try (Router router = new Router(folder, "front-0", Main.ip(21), Main.ip(1) + ":" + store.port(),
				List.of(Main.ip(21)))) {
			router.start();
			if (!router.awaitReady(30_000)) {
				return Main.NOT_RUN;
			}
			return play(record, router, store, new Fleet(servers, listed, beats), arrivals, trouble);
		}
	}

	private static int play(Record record, Router router, Store store, Fleet fleet, List<Arrival> arrivals,
			boolean trouble) throws Exception {
		List<Sent> sent = new CopyOnWriteArrayList<>();
		boolean[] running = { true };
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			String name = "o" + i;
			Thread caller = new Thread(() -> call(record, router, name, sent, running));
			caller.start();
			callers.add(caller);
		}
		Thread.sleep(6_000);
		Server leaving = fleet.servers.get(SERVERS - 1);
		// One write of the server: performed at once without the disruption, late with it.
		int sequence = fleet.beats.incrementAndGet();
		String entry = leaving.entry("desk", 6, "ready", sequence);
		if (!trouble) {
			store.put("servers", "i-7", entry);
		}
		record.add("i-7 writes its entry, seq " + sequence
				+ (trouble ? "; trouble: the call gets no answer and is performed 5.8 s later" : ""));
		Thread.sleep(REMOVAL_DELAY_MS);
		fleet.listed.set(SERVERS - 1);
		Thread.sleep(20);
		store.remove("servers", "i-7");
		double goneAt = record.seconds();
		record.add("the store has removed the entry of i-7, last seq " + fleet.beats.get()
				+ " or one less; the server goes on serving");
		Thread.sleep(LATE_MS - REMOVAL_DELAY_MS);
		if (trouble) {
			store.put("servers", "i-7", entry);
			record.add("the store performs the late write of i-7, seq " + sequence);
		}
		Thread.sleep(LAPSE_MS);
		if (trouble) {
			store.remove("servers", "i-7");
			record.add("the store drops the entry of i-7, which has been silent for three intervals");
		}
		Thread.sleep(1_500);
		running[0] = false;
		for (Thread caller : callers) {
			caller.join();
		}
		List<Arrival> late = arrivals.stream()
			.filter((arrival) -> arrival.server.equals("i-7") && arrival.atS > goneAt + DRAIN_S)
			.toList();
		long served = sent.stream().filter((request) -> request.status == 200).count();
		record.result(String.format(Locale.ROOT,
				"%d requests, %d served; %d reached i-7 later than %.1f s after its entry was removed, the last one %.3f s after it",
				sent.size(), served, late.size(), DRAIN_S,
				late.stream().mapToDouble(Arrival::atS).max().orElse(goneAt) - goneAt));
		if (served < sent.size() * 0.5) {
			return Main.NOT_RUN;
		}
		return late.isEmpty() ? Main.HELD : Main.BROKEN;
	}

	private static void beat(Store store, List<Server> servers, AtomicInteger listed, AtomicInteger beats) {
		while (true) {
			int beat = beats.incrementAndGet();
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
			int status = 0;
			try {
				if (caller == null) {
					caller = new Caller(router.ip, 8740, 0);
				}
				record.add("request " + id + " sent");
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
			record.add("request " + id + " answered " + status);
			sent.add(new Sent(id, status));
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

	private record Sent(String id, int status) {
	}

	private record Arrival(String server, String id, double atS) {
	}

	private record Fleet(List<Server> servers, AtomicInteger listed, AtomicInteger beats) {
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
