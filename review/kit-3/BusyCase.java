package io.verbenacleat.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two sound servers, one of which ends a few of its answers with their connection, are busy
 * and reset new connections while their queue is long. The router gets SIGHUP three times.
 * With TROUBLE=0 the servers accept all connections, at the same load.
 */
final class BusyCase {

	private static final int SLOTS = 6;

	/** The server sheds requests beyond this queue. */
	private static final int MAX_QUEUE = 24;

	/** A queue from which on the server accepts no further connections. */
	private static final int LONG_QUEUE = 12;

	private static final int WORK_MS = 120;

	private static final int CLIENTS = 112;

	/** The mean pause of a client between an answer and its next request. */
	private static final int PAUSE_MS = 600;

	private static final int PLAY_MS = 50_000;

	private static final long[] SIGHUPS_AT_MS = { 15_000, 27_000, 39_000 };

	/** Requests sent until then count as sent around the SIGHUP. */
	private static final long AFTER_SIGHUP_MS = 2_000;

	/** Answers of the first server without a length, in 100. */
	private static final int UNFRAMED_PERCENT = 3;

	private static final int DEADLINE_MS = 4_000;

	/** The cuts on kept connections that the rule allows. */
	private static final int MAX_CUT = 3;

	private final boolean trouble;

	private volatile long lastSighupMs = Long.MIN_VALUE / 2;

	private final AtomicInteger unframed = new AtomicInteger();

	private final AtomicInteger resets = new AtomicInteger();

	/** The requests whose answer the server has written whole. */
	private final Map<String, Boolean> answered = new ConcurrentHashMap<>();

	private final Map<String, Integer> outcomes = new TreeMap<>();

	/** Requests on a connection of a client that had been used before. */
	private final List<String> cut = new ArrayList<>();

	private final List<String> cutOnNewConnection = new ArrayList<>();

	/** Requests that were cut after a SIGHUP around which they were sent. */
	private final List<String> cutAroundPlannedWork = new ArrayList<>();

	private BusyCase(boolean trouble) {
		this.trouble = trouble;
	}

	public static void main(String[] args) throws Exception {
		System.exit(new BusyCase(!"0".equals(System.getenv("TROUBLE"))).run(Path.of(args[0])));
	}

	private int run(Path file) throws Exception {
		try (Kit.Record record = new Kit.Record(file);
				FakeStoreServer store = new FakeStoreServer();
				Desk first = new Desk(record, UNFRAMED_PERCENT);
				Desk second = new Desk(record, 0);
				Kit.Router router = new Kit.Router("router1", store.port())) {
			store.put("op", "config", Kit.config(1, 100_000_000));
			store.put("servers", "i-1", Kit.registration("desk", first.server.port(), SLOTS, "ready", 1, 5));
			store.put("servers", "i-2", Kit.registration("desk", second.server.port(), SLOTS, "ready", 1, 5));
			router.start(true);
			if (!router.awaitReady(30_000)) {
				record.say("the router is not ready: " + router.output());
				return 2;
			}
			record.say("the router is ready");
			AtomicBoolean stop = new AtomicBoolean();
			List<Thread> clients = new ArrayList<>();
			for (int c = 0; c < CLIENTS; c++) {
				int number = c;
				clients.add(Kit.daemon(() -> send(record, router, "c" + number, stop)));
			}
			long startedAtMs = Kit.nowMs();
			for (long atMs : SIGHUPS_AT_MS) {
				Kit.sleep(startedAtMs + atMs - Kit.nowMs());
				record.add("SIGHUP");
				this.lastSighupMs = Kit.nowMs();
				router.signal("HUP");
			}
			Kit.sleep(startedAtMs + PLAY_MS - Kit.nowMs());
			stop.set(true);
			for (Thread client : clients) {
				client.join(DEADLINE_MS + 2_000);
			}
			router.output().lines().filter((line) -> line.contains("response.connection_ended")).forEach(record::add);
			synchronized (this) {
				record.say("outcomes " + this.outcomes + ", connections that the server reset: " + this.resets);
				record.say("answers that the servers wrote whole: " + this.answered.size() + " (without a length: " + this.unframed
						+ ")"
						+ ", of these cut on their way to a client that waits: " + this.cut.size()
						+ " on kept connections, " + this.cutOnNewConnection.size() + " on new ones");
				this.cut.stream().limit(10).forEach(record::say);
				record.say("of these sent until " + AFTER_SIGHUP_MS + " ms after a SIGHUP and cut after it: "
						+ this.cutAroundPlannedWork.size() + " " + this.cutAroundPlannedWork);
				boolean broken = this.cut.size() > MAX_CUT || !this.cutAroundPlannedWork.isEmpty();
				record.say(broken ? "BROKEN" : "held");
				return broken ? 1 : 0;
			}
		}
	}

	private static byte[] body(String id) {
		byte[] body = new byte[800];
		new Random(id.hashCode()).nextBytes(body);
		return body;
	}

	private void send(Kit.Record record, Kit.Router router, String name, AtomicBoolean stop) {
		Random random = new Random(name.hashCode());
		int n = 0;
		Kit.sleep(random.nextInt(2 * PAUSE_MS));
		while (!stop.get()) {
			try (Kit.Client client = new Kit.Client(router.front)) {
				boolean open = true;
				boolean kept = false;
				while (open && !stop.get()) {
					String id = name + "x" + n++;
					long sentAtMs = Kit.nowMs();
					client.send(Kit.requestHead("POST", "/book/" + id, id, DEADLINE_MS, 3, ""), "abc".getBytes());
					Kit.Answer answer = client.read(DEADLINE_MS);
					count(record, id, answer, kept, sentAtMs);
					open = answer.complete;
					kept = true;
					Kit.sleep((long) (PAUSE_MS * (0.5 + random.nextDouble())));
				}
			}
			catch (IOException ex) {
				Kit.sleep(100);
			}
		}
	}

	private synchronized void count(Kit.Record record, String id, Kit.Answer answer, boolean kept, long sentAtMs) {
		String outcome = answer.complete ? "" + answer.status : "no whole answer";
		this.outcomes.merge(outcome, 1, Integer::sum);
		record.add("client gets " + id + " status=" + answer.status + " complete=" + answer.complete + " bytes="
				+ answer.body.length + " " + answer.failure);
		if (!answer.complete && answer.failure.contains("closed") && this.answered.containsKey(id)) {
			(kept ? this.cut : this.cutOnNewConnection).add(id + ": the server ran it and answered whole; the client got status " + answer.status + " and "
					+ answer.body.length + " bytes without an end, then its connection closed");
			// It was cut after the last SIGHUP, since it ends only now.
			if (sentAtMs <= this.lastSighupMs + AFTER_SIGHUP_MS) {
				this.cutAroundPlannedWork.add(id);
			}
		}
	}

	/** A server with slots and a queue, which resets new connections while the queue is long. */
	private final class Desk implements AutoCloseable {

		private final Kit.Record record;

		private final int unframedPercent;

		private final Semaphore slots = new Semaphore(SLOTS, true);

		private final AtomicInteger waiting = new AtomicInteger();

		private final Kit.Server server;

		private Desk(Kit.Record record, int unframedPercent) throws IOException {
			this.record = record;
			this.unframedPercent = unframedPercent;
			this.server = new Kit.Server(this::serve);
			this.server.admission = () -> {
				boolean admitted = !BusyCase.this.trouble || this.waiting.get() < LONG_QUEUE;
				if (!admitted) {
					BusyCase.this.resets.incrementAndGet();
				}
				return admitted;
			};
		}

		private boolean serve(Kit.Request request, Socket socket, java.io.OutputStream out)
				throws IOException, InterruptedException {
			if (this.waiting.get() >= MAX_QUEUE) {
				out.write(Kit.answerHead(503, request.id(), Kit.name("header.notrun") + ": 1\r\n", 0).getBytes());
				return true;
			}
			this.waiting.incrementAndGet();
			this.slots.acquire();
			this.waiting.decrementAndGet();
			boolean framed = Math.floorMod(request.id().hashCode() * 31, 100) >= this.unframedPercent;
			byte[] body = body(request.id());
			try {
				this.record.add("server runs " + request.id());
				Kit.sleep(WORK_MS);
				out.write(Kit
					.answerHead(200, request.id(), framed ? "" : "Connection: close\r\n", framed ? body.length : -1)
					.getBytes());
				out.write(body);
				out.flush();
				if (!framed) {
					socket.shutdownOutput();
					BusyCase.this.unframed.incrementAndGet();
				}
				BusyCase.this.answered.put(request.id(), true);
				this.record.add("server has answered " + request.id() + " whole" + (framed ? "" : ", without a length"));
			}
			finally {
				this.slots.release();
			}
			if (framed) {
				return true;
			}
			// Closes once the caller has closed, so that the answer is not reset.
			socket.setSoTimeout(2_000);
			socket.getInputStream().read();
			return false;
		}

		@Override
		public void close() throws IOException {
			this.server.close();
		}

	}

}
