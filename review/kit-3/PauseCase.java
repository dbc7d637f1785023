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
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model servers run short streams, which may be resumed, and long ones. When their memory
 * runs out they preempt one, and go on with it when another stream ends. Two of three servers
 * drop a request as soon as its connection closes; the third works on to its end. With
 * TROUBLE=0 no server preempts.
 */
final class PauseCase {

	private static final int SERVERS = 3;

	/** The server that drops no request. */
	private static final String KEEPING = "i-3";

	private static final int CLIENTS = 8;

	private static final int EVENTS = 16;

	private static final int EVENT_MS = 40;

	/** Long streams, which may not be resumed. */
	private static final int LONG_CLIENTS = 13;

	private static final int LONG_EVENTS = 100;

	private static final int LONG_EVENT_MS = 100;

	private static final int LONG_DEADLINE_MS = 15_000;

	private static final long PLAY_MS = 78_000;

	private static final int DEADLINE_MS = 5_000;

	/** Clients abandon a stream after such a gap: four times the objective of its route. */
	private static final int GAP_MS = 2_400;

	private static final int LONG_GAP_MS = 3_200;

	private static final long MAX_OVERLAP_MS = 400;

	private final boolean trouble;

	private final Map<String, Engine> engines = Map.of("i-1", new Engine(), "i-2", new Engine(), "i-3", new Engine());

	private final Map<String, Run> runs = new ConcurrentHashMap<>();

	private final Set<String> paused = ConcurrentHashMap.newKeySet();

	private final AtomicInteger resumed = new AtomicInteger();

	private final ConcurrentLinkedQueue<String> overlaps = new ConcurrentLinkedQueue<>();

	private final Map<String, Integer> outcomes = new TreeMap<>();

	private PauseCase(boolean trouble) {
		this.trouble = trouble;
	}

	public static void main(String[] args) throws Exception {
		System.exit(new PauseCase(!"0".equals(System.getenv("TROUBLE"))).run(Path.of(args[0])));
	}

	private int run(Path file) throws Exception {
		List<Kit.Server> servers = new ArrayList<>();
		try (Kit.Record record = new Kit.Record(file);
				FakeStoreServer store = new FakeStoreServer();
				Kit.Router router = new Kit.Router("router1", store.port())) {
			store.put("op", "config", Kit.config(1, 100_000_000, Engine.SLOTS, Engine.KV_TOKENS));
			for (int i = 1; i <= SERVERS; i++) {
				String name = "i-" + i;
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
			Kit.sleep(PLAY_MS);
			stop.set(true);
			for (Thread client : clients) {
				client.join(LONG_DEADLINE_MS + 1_000);
			}
			Kit.sleep(2_500);
			record.say("outcomes " + this.outcomes + ", streams that paused: " + this.paused.size()
					+ ", that went on at another server: " + this.resumed);
			record.say("streams that went on at another server while the one before still worked on them "
					+ MAX_OVERLAP_MS + " ms later: " + this.overlaps.size());
			this.overlaps.stream().limit(10).forEach(record::say);
			boolean broken = !this.overlaps.isEmpty();
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
		Engine.Run place = engine.enter(eventMs(request) * (long) events(request));
		if (place == null) {
			record.add(server + " is full and rejects " + request.id());
			out.write(Kit.answerHead(503, request.id(), Kit.name("header.notrun") + ": 1\r\n", 0).getBytes());
			return true;
		}
		// No server runs a request whose caller left while it waited.
		try {
			Kit.sleepWhileOpen(socket, 2);
		}
		catch (IOException ex) {
			engine.leave(place);
			throw ex;
		}
		Run run = new Run(server);
		Run before = this.runs.put(request.id(), run);
		record.add(server + " runs " + request.id() + " after event " + lastId);
		if (before != null) {
			this.resumed.incrementAndGet();
			Kit.daemon(() -> checkOverlap(record, request.id(), before, run));
		}
		boolean open = true;
		try {
			open = write(Kit
				.answerHead(200, request.id(), "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n", -1),
					server, out, open);
			int from = lastId.isEmpty() ? 1 : Integer.parseInt(lastId) + 1;
			for (int i = from; i <= events(request); i++) {
				String event = "id: " + i + "\ndata: piece " + i + "\n\n";
				open = write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n", server, out, open);
				sleep(server, socket, eventMs(request));
				engine.wrote(place, i == events(request));
				if (this.trouble) {
					engine.mayRunOut();
				}
				if (engine.isPreempted(place)) {
					this.paused.add(request.id());
					record.add(server + " pauses " + request.id());
					while (engine.isPreempted(place)) {
						sleep(server, socket, 10);
					}
					record.add(server + " goes on with " + request.id());
				}
			}
			open = write("0\r\n\r\n", server, out, open);
			record.add(server + " has ended " + request.id());
			return open;
		}
		catch (IOException ex) {
			record.add(server + " drops " + request.id() + ", whose caller has left");
			throw ex;
		}
		finally {
			run.working = false;
			engine.leave(place);
		}
	}

	// Returns whether the connection is still open.
	private static boolean write(String text, String server, OutputStream out, boolean open) throws IOException {
		if (!open) {
			return false;
		}
		try {
			out.write(text.getBytes());
			return true;
		}
		catch (IOException ex) {
			if (server.equals(KEEPING)) {
				return false;
			}
			throw ex;
		}
	}

	private static void sleep(String server, Socket socket, long ms) throws IOException {
		if (server.equals(KEEPING)) {
			Kit.sleep(ms);
		}
		else {
			Kit.sleepWhileOpen(socket, ms);
		}
	}

	private void checkOverlap(Kit.Record record, String id, Run before, Run run) {
		Kit.sleep(MAX_OVERLAP_MS);
		if (before.working) {
			this.overlaps.add(id + ": goes on at " + run.server + " since " + (MAX_OVERLAP_MS) + " ms, and " + before.server
					+ " still works on it");
			record.add(id + " works at both " + before.server + " and " + run.server);
		}
	}

	private void send(Kit.Record record, Kit.Router router, String name, AtomicBoolean stop) {
		int n = 0;
		boolean isLong = name.startsWith("long");
		int deadlineMs = isLong ? LONG_DEADLINE_MS : DEADLINE_MS;
		// Long streams begin one after the other.
		Kit.sleep(isLong ? Math.floorMod(name.hashCode() * 31, 10) * 1_000 : 0);
		while (!stop.get()) {
			String id = name + "x" + n++;
			Kit.Answer answer = new Kit.Answer();
			try (Kit.Client client = new Kit.Client(router.front)) {
				client.send(Kit.requestHead("POST", (isLong ? "/stream/" : "/resume/") + id, id, deadlineMs, 3,
						Kit.name("header.usage") + (isLong ? ": 1000,400\r\n" : ": 1000,80\r\n") + Kit.name("header.model") + ": m\r\n"),
						"abc".getBytes());
				answer = client.read(isLong ? LONG_GAP_MS : GAP_MS);
			}
			catch (IOException ex) {
				answer.failure = ex.getMessage();
			}
			record.add("client gets " + id + " " + answer.status + " complete=" + answer.complete + " events="
					+ (answer.text().split("\n\n", -1).length - 1) + " " + answer.failure);
			synchronized (this) {
				this.outcomes.merge(answer.complete ? "" + answer.status : "no whole answer", 1, Integer::sum);
			}
			Kit.sleep(100);
		}
	}

	/** One run of a request at a server. */
	private static final class Run {

		private final String server;

		private volatile boolean working = true;

		private Run(String server) {
			this.server = server;
		}

	}

}
