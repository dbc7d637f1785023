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
 * Two sound servers, one of which ends a few of its answers with their connection, have a
 * long queue during bursts and reset new connections meanwhile. With TROUBLE=0 there are no
 * bursts.
 */
final class BusyCase {

	private static final int SLOTS = 6;

	/** The server sheds requests beyond this queue. */
	private static final int MAX_QUEUE = 24;

	/** A queue from which on the server accepts no further connections. */
	private static final int LONG_QUEUE = 12;

	private static final int WORK_MS = 120;

	private static final int CLIENTS = 112;

	/** The pause of a client between two requests. */
	private static final int INTERVAL_MS = 1_250;

	private static final double BURST = 1.7;

	private static final int BURST_MS = 3_000;

	private static final int BURSTS = 10;

	private static final int BETWEEN_BURSTS_MS = 4_000;

	/** Answers of the first server without a length, in 100. */
	private static final int UNFRAMED_PERCENT = 3;

	private static final int DEADLINE_MS = 4_000;

	private static final int MAX_CUT = 3;

	private volatile boolean burst;

	private final AtomicInteger unframed = new AtomicInteger();

	private final AtomicInteger resets = new AtomicInteger();

	/** The requests whose answer the server has written whole. */
	private final Map<String, Boolean> answered = new ConcurrentHashMap<>();

	private final Map<String, Integer> outcomes = new TreeMap<>();

	/** Requests on a connection of a client that had been used before. */
	private final List<String> cut = new ArrayList<>();

	private final List<String> cutOnNewConnection = new ArrayList<>();

	public static void main(String[] args) throws Exception {
		System.exit(new BusyCase().run(Path.of(args[0]), !"0".equals(System.getenv("TROUBLE"))));
	}

	private int run(Path file, boolean trouble) throws Exception {
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
				record.say("the router is not ready");
				return 2;
			}
			record.say("the router is ready");
			AtomicBoolean stop = new AtomicBoolean();
			List<Thread> clients = new ArrayList<>();
			for (int c = 0; c < CLIENTS; c++) {
				int number = c;
				clients.add(Kit.daemon(() -> send(record, router, "c" + number, stop)));
			}
			Kit.sleep(5_000);
			for (int i = 0; i < BURSTS; i++) {
				this.burst = trouble;
				record.add(trouble ? "a burst begins" : "no burst");
				Kit.sleep(BURST_MS);
				this.burst = false;
				Kit.sleep(BETWEEN_BURSTS_MS);
			}
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
				boolean broken = this.cut.size() > MAX_CUT;
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
		Kit.sleep(random.nextInt(INTERVAL_MS));
		while (!stop.get()) {
			try (Kit.Client client = new Kit.Client(router.front)) {
				boolean open = true;
				boolean kept = false;
				while (open && !stop.get()) {
					String id = name + "x" + n++;
					long nextMs = Kit.nowMs() + (long) (INTERVAL_MS * (0.5 + random.nextDouble()));
					client.send(Kit.requestHead("POST", "/book/" + id, id, DEADLINE_MS, 3, ""), "abc".getBytes());
					Kit.Answer answer = client.read(DEADLINE_MS);
					count(record, id, answer, kept);
					open = answer.complete;
					kept = true;
					long leftMs = nextMs - Kit.nowMs();
					while (leftMs > 0 && !stop.get()) {
						Kit.sleep(Math.min(leftMs, 20));
						leftMs -= this.burst ? (long) (20 * BURST) : 20;
					}
				}
			}
			catch (IOException ex) {
				Kit.sleep(100);
			}
		}
	}

	private synchronized void count(Kit.Record record, String id, Kit.Answer answer, boolean kept) {
		String outcome = answer.complete ? "" + answer.status : "no whole answer";
		this.outcomes.merge(outcome, 1, Integer::sum);
		record.add("client gets " + id + " status=" + answer.status + " complete=" + answer.complete + " bytes="
				+ answer.body.length + " " + answer.failure);
		if (!answer.complete && answer.failure.contains("closed") && this.answered.containsKey(id)) {
			(kept ? this.cut : this.cutOnNewConnection).add(id + ": the server ran it and answered whole; the client got status " + answer.status + " and "
					+ answer.body.length + " bytes without an end, then its connection closed");
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
				boolean admitted = this.waiting.get() < LONG_QUEUE;
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
