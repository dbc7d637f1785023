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
 * A sound server whose answers end with their connection has a long queue for some time and
 * resets new connections meanwhile. With TROUBLE=0 the callers are few, so that the queue
 * stays short.
 */
final class BusyCase {

	private static final int SLOTS = 6;

	/** The server sheds requests beyond this queue. */
	private static final int MAX_QUEUE = 24;

	/** A queue from which on the server accepts no further connections. */
	private static final int LONG_QUEUE = 12;

	private static final int WORK_MS = 120;

	private static final int DEADLINE_MS = 4_000;

	private static final int MAX_CUT = 3;

	private final Semaphore slots = new Semaphore(SLOTS, true);

	private final AtomicInteger waiting = new AtomicInteger();

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
				Kit.Server desk = new Kit.Server((request, socket, out) -> serve(record, request, socket, out));
				Kit.Router router = new Kit.Router("router1", store.port())) {
			desk.admission = () -> {
				boolean admitted = this.waiting.get() < LONG_QUEUE;
				if (!admitted) {
					this.resets.incrementAndGet();
				}
				return admitted;
			};
			store.put("op", "config", Kit.config(1, 100_000_000));
			store.put("servers", "i-1", Kit.registration("desk", desk.port(), SLOTS, "ready", 1, 5));
			router.start(true);
			if (!router.awaitReady(30_000)) {
				record.say("the router is not ready");
				return 2;
			}
			record.say("the router is ready");
			AtomicBoolean stop = new AtomicBoolean();
			List<Thread> clients = new ArrayList<>();
			for (int c = 0; c < 4; c++) {
				int number = c;
				clients.add(Kit.daemon(() -> send(record, router, "a" + number, stop, 100)));
			}
			Kit.sleep(6_000);
			AtomicBoolean burstOver = new AtomicBoolean();
			if (trouble) {
				record.say("many users come at once");
				for (int c = 0; c < 24; c++) {
					int number = c;
					clients.add(Kit.daemon(() -> send(record, router, "b" + number, burstOver, 100)));
				}
			}
			Kit.sleep(10_000);
			burstOver.set(true);
			Kit.sleep(4_000);
			stop.set(true);
			for (Thread client : clients) {
				client.join(DEADLINE_MS + 2_000);
			}
			router.output()
				.lines()
				.filter((line) -> line.contains("response.connection_ended"))
				.limit(40)
				.forEach(record::add);
			synchronized (this) {
				record.say("outcomes " + this.outcomes + ", connections that the server reset: " + this.resets);
				record.say("answers that the server wrote whole: " + this.answered.size()
						+ ", of these cut on their way to a client that waits: " + this.cut.size()
						+ " on kept connections, " + this.cutOnNewConnection.size() + " on new ones");
				this.cut.stream().limit(10).forEach(record::say);
				boolean broken = this.cut.size() > MAX_CUT;
				record.say(broken ? "BROKEN" : "held");
				return broken ? 1 : 0;
			}
		}
	}

	private boolean serve(Kit.Record record, Kit.Request request, Socket socket, java.io.OutputStream out)
			throws IOException, InterruptedException {
		if (this.waiting.get() >= MAX_QUEUE) {
			out.write(Kit.answerHead(503, request.id(), Kit.name("header.notrun") + ": 1\r\n", 0).getBytes());
			return true;
		}
		this.waiting.incrementAndGet();
		this.slots.acquire();
		this.waiting.decrementAndGet();
		try {
			record.add("server runs " + request.id());
			Kit.sleep(WORK_MS);
			out.write(Kit.answerHead(200, request.id(), "Connection: close\r\n", -1).getBytes());
			out.write(body(request.id()));
			out.flush();
			socket.shutdownOutput();
			this.answered.put(request.id(), true);
			record.add("server has answered " + request.id() + " whole");
		}
		finally {
			this.slots.release();
		}
		// Closes once the caller has closed, so that the answer is not reset.
		socket.setSoTimeout(2_000);
		socket.getInputStream().read();
		return false;
	}

	private static byte[] body(String id) {
		byte[] body = new byte[800];
		new Random(id.hashCode()).nextBytes(body);
		return body;
	}

	private void send(Kit.Record record, Kit.Router router, String name, AtomicBoolean stop, int pauseMs) {
		Random random = new Random(name.hashCode());
		int n = 0;
		while (!stop.get()) {
			try (Kit.Client client = new Kit.Client(router.front)) {
				boolean open = true;
				boolean kept = false;
				while (open && !stop.get()) {
					String id = name + "x" + n++;
					client.send(Kit.requestHead("POST", "/book/" + id, id, DEADLINE_MS, 3, ""), "abc".getBytes());
					Kit.Answer answer = client.read(DEADLINE_MS);
					count(record, id, answer, kept);
					open = answer.complete;
					kept = true;
					Kit.sleep(random.nextInt(pauseMs));
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

}
