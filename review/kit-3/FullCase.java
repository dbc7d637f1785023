package io.verbenacleat.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model servers are full of short streams, which may be resumed, and long ones. They preempt
 * some of them, reject what they have no place for, and go on when another stream ends. The
 * router gets SIGHUP five times. With TROUBLE=0 no server preempts.
 */
final class FullCase {

	private static final int SERVERS = 4;

	private static final int CLIENTS = 14;

	private static final int EVENTS = 16;

	private static final int EVENT_MS = 40;

	/** Long streams, which may not be resumed. */
	private static final int LONG_CLIENTS = 20;

	private static final int LONG_EVENTS = 100;

	private static final int LONG_EVENT_MS = 100;

	private static final int LONG_DEADLINE_MS = 15_000;

	private static final long PLAY_MS = 78_000;

	private static final int DEADLINE_MS = 5_000;

	/** Clients abandon a stream after such a gap: four times the objective of its route. */
	private static final int GAP_MS = 2_400;

	private static final int LONG_GAP_MS = 3_200;

	/** The cuts on kept connections that the rule allows. */
	private static final int MAX_CUT = 3;

	private static final long[] SIGHUPS_AT_MS = { 12_000, 26_000, 40_000, 54_000, 68_000 };

	/** Requests sent until then count as sent around the SIGHUP. */
	private static final long AFTER_SIGHUP_MS = 2_000;

	private final boolean trouble;

	private final Map<String, Engine> engines = new TreeMap<>();

	private final Set<String> paused = ConcurrentHashMap.newKeySet();

	private final AtomicInteger rejected = new AtomicInteger();

	private final List<String> cut = new ArrayList<>();

	private int cutOnNewConnection;

	/** Streams that were cut after a SIGHUP around which they were sent. */
	private final List<String> cutAroundPlannedWork = new ArrayList<>();

	private volatile long lastSighupMs = Long.MIN_VALUE / 2;

	private final Map<String, Integer> outcomes = new TreeMap<>();

	private FullCase(boolean trouble) {
		this.trouble = trouble;
	}

	public static void main(String[] args) throws Exception {
		System.exit(new FullCase(!"0".equals(System.getenv("TROUBLE"))).run(Path.of(args[0])));
	}

	private int run(Path file) throws Exception {
		List<Kit.Server> servers = new ArrayList<>();
		try (Kit.Record record = new Kit.Record(file);
				FakeStoreServer store = new FakeStoreServer();
				Kit.Router router = new Kit.Router("router1", store.port())) {
			store.put("op", "config", Kit.config(1, 100_000_000, Engine.SLOTS, Engine.KV_TOKENS));
			for (int i = 1; i <= SERVERS; i++) {
				String name = "i-" + i;
				this.engines.put(name, new Engine());
				Kit.Server server = new Kit.Server(
						(request, socket, out) -> serve(record, name, request, socket, out));
				servers.add(server);
				store.put("servers", name, Kit.registration("pool", server.port(), Engine.SLOTS, "ready", 1, 5));
			}
			router.start(true);
			if (!router.awaitReady(30_000)) {
				record.say("the router is not ready: " + router.output());
				return 2;
			}
			record.say("the router is ready");
			Kit.sleep(5_000);
			AtomicBoolean stop = new AtomicBoolean();
			List<Thread> clients = new ArrayList<>();
			for (int c = 0; c < CLIENTS + LONG_CLIENTS; c++) {
				int number = c;
				clients.add(Kit.daemon(() -> send(record, router, ((number < CLIENTS) ? "c" : "long") + number, stop)));
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
				client.join(LONG_DEADLINE_MS + 1_000);
			}
			record.say("outcomes " + this.outcomes + ", rejected by full servers: " + this.rejected
					+ ", streams that paused: " + this.paused.size());
			record.say("streams that broke off on kept connections: " + this.cut.size() + ", on new ones: "
					+ this.cutOnNewConnection);
			this.cut.stream().limit(10).forEach(record::say);
			record.say("streams sent until " + AFTER_SIGHUP_MS + " ms after a SIGHUP that broke off after it: "
					+ this.cutAroundPlannedWork.size() + " " + this.cutAroundPlannedWork);
			boolean broken = this.cut.size() > MAX_CUT || !this.cutAroundPlannedWork.isEmpty();
			record.say(broken ? "BROKEN" : "held");
			return broken ? 1 : 0;
		}
		finally {
			for (Kit.Server server : servers) {
				server.close();
			}
		}
	}

	private static boolean isLong(Kit.Request request) {
		return request.path().startsWith("/stream/");
	}

	private static int events(Kit.Request request) {
		return isLong(request) ? LONG_EVENTS : EVENTS;
	}

	private static int eventMs(Kit.Request request) {
		return isLong(request) ? LONG_EVENT_MS : EVENT_MS;
	}

	private boolean serve(Kit.Record record, String server, Kit.Request request, Socket socket, OutputStream out)
			throws IOException, InterruptedException {
		Engine engine = this.engines.get(server);
		if (request.id().isEmpty()) {
			byte[] body = engine.report();
			out.write(Kit.answerHead(200, "", "", body.length).getBytes());
			out.write(body);
			return true;
		}
		String lastId = request.header(Kit.name("header.lastid"));
		Engine.Run run = engine.enter(eventMs(request) * (long) events(request));
		if (run == null) {
			this.rejected.incrementAndGet();
			record.add(server + " is full and rejects " + request.id() + " after event " + lastId);
			out.write(Kit.answerHead(503, request.id(), Kit.name("header.notrun") + ": 1\r\n", 0).getBytes());
			return true;
		}
		// A request whose caller left while it waited is not run.
		try {
			Kit.sleepWhileOpen(socket, 2);
		}
		catch (IOException ex) {
			engine.leave(run);
			throw ex;
		}
		record.add(server + " runs " + request.id() + " after event " + lastId);
		try {
			out.write(Kit
				.answerHead(200, request.id(), "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n", -1)
				.getBytes());
			int from = lastId.isEmpty() ? 1 : Integer.parseInt(lastId) + 1;
			for (int i = from; i <= events(request); i++) {
				String event = "id: " + i + "\ndata: piece " + i + "\n\n";
				out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
				Kit.sleepWhileOpen(socket, eventMs(request));
				engine.wrote(run, i == events(request));
				if (this.trouble) {
					engine.mayRunOut();
				}
				if (engine.isPreempted(run)) {
					this.paused.add(request.id());
					record.add(server + " pauses " + request.id());
					while (engine.isPreempted(run)) {
						Kit.sleepWhileOpen(socket, 10);
					}
					record.add(server + " goes on with " + request.id());
				}
			}
			out.write("0\r\n\r\n".getBytes());
			record.add(server + " has ended " + request.id());
			return true;
		}
		catch (IOException ex) {
			record.add(server + " notices that the caller of " + request.id() + " has left");
			throw ex;
		}
		finally {
			engine.leave(run);
		}
	}

	private void send(Kit.Record record, Kit.Router router, String name, AtomicBoolean stop) {
		int n = 0;
		boolean isLong = name.startsWith("long");
		int deadlineMs = isLong ? LONG_DEADLINE_MS : DEADLINE_MS;
		// Long streams begin one after the other.
		Kit.sleep(isLong ? Math.floorMod(name.hashCode() * 31, 10) * 1_000 : 0);
		while (!stop.get()) {
			try (Kit.Client client = new Kit.Client(router.front)) {
				boolean open = true;
				boolean kept = false;
				while (open && !stop.get()) {
					String id = name + "x" + n++;
					long sentAtMs = Kit.nowMs();
					client.send(Kit.requestHead("POST", (isLong ? "/stream/" : "/resume/") + id, id, deadlineMs, 3,
							Kit.name("header.usage") + (isLong ? ": 1000,400\r\n" : ": 1000,80\r\n") + Kit.name("header.model") + ": m\r\n"),
							"abc".getBytes());
					Kit.Answer answer = client.read(isLong ? LONG_GAP_MS : GAP_MS);
					count(record, id, answer, kept, sentAtMs);
					open = answer.complete;
					kept = true;
					Kit.sleep(100);
				}
			}
			catch (IOException ex) {
				Kit.sleep(100);
			}
		}
	}

	private synchronized void count(Kit.Record record, String id, Kit.Answer answer, boolean kept, long sentAtMs) {
		int events = answer.text().split("\n\n", -1).length - 1;
		record.add("client gets " + id + " " + answer.status + " complete=" + answer.complete + " events=" + events + " "
				+ answer.failure);
		this.outcomes.merge(answer.complete ? "" + answer.status : "no whole answer", 1, Integer::sum);
		// The deadline was not near, and the client has not left.
		boolean waits = Kit.nowMs() - sentAtMs < DEADLINE_MS - 500 && answer.failure.contains("closed");
		if (!answer.complete && answer.status == 200 && this.paused.contains(id) && waits) {
			if (kept) {
				this.cut.add(id + ": its server had sent " + events + " of " + EVENTS
						+ " events and went on; the client's connection closed");
			}
			else {
				this.cutOnNewConnection++;
			}
			// The stream was cut after its last SIGHUP, since it ends only now.
			if (sentAtMs <= this.lastSighupMs + AFTER_SIGHUP_MS) {
				this.cutAroundPlannedWork.add(id);
			}
		}
	}

}
