package io.verbenacleat.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model servers pause once in the middle of some streams that may be resumed, as after a
 * preemption, and go on. A server notices that its caller has left when it writes the next
 * event. With TROUBLE=0 no server pauses.
 */
final class PauseCase {

	private static final int STREAMS = 40;

	private static final int EVENTS = 12;

	private static final int EVENT_MS = 40;

	private static final int PAUSE_AFTER_EVENT = 4;

	private static final int PAUSE_MS = 1_500;

	private static final int DEADLINE_MS = 5_000;

	private static final long MAX_OVERLAP_MS = 400;

	private final boolean trouble;

	private final Map<String, Run> runs = new ConcurrentHashMap<>();

	private final ConcurrentLinkedQueue<String> overlaps = new ConcurrentLinkedQueue<>();

	private final Map<String, Integer> outcomes = new TreeMap<>();

	private PauseCase(boolean trouble) {
		this.trouble = trouble;
	}

	public static void main(String[] args) throws Exception {
		System.exit(new PauseCase(!"0".equals(System.getenv("TROUBLE"))).run(Path.of(args[0])));
	}

	private int run(Path file) throws Exception {
		try (Kit.Record record = new Kit.Record(file);
				FakeStoreServer store = new FakeStoreServer();
				Kit.Server first = new Kit.Server((request, socket, out) -> serve(record, "i-1", request, out));
				Kit.Server second = new Kit.Server((request, socket, out) -> serve(record, "i-2", request, out));
				Kit.Router router = new Kit.Router("router1", store.port())) {
			store.put("op", "config", Kit.config(1, 100_000_000));
			store.put("servers", "i-1", Kit.registration("pool", first.port(), 64, "ready", 1, 5));
			store.put("servers", "i-2", Kit.registration("pool", second.port(), 64, "ready", 1, 5));
			router.start(true);
			if (!router.awaitReady(30_000)) {
				record.say("the router is not ready");
				return 2;
			}
			record.say("the router is ready");
			Kit.sleep(5_000);
			AtomicInteger next = new AtomicInteger();
			List<Thread> clients = new ArrayList<>();
			for (int c = 0; c < 4; c++) {
				clients.add(Kit.daemon(() -> {
					int n;
					while ((n = next.getAndIncrement()) < STREAMS) {
						send(record, router, "s" + n);
					}
				}));
			}
			for (Thread client : clients) {
				client.join();
			}
			Kit.sleep(2_500);
			record.say("outcomes " + this.outcomes + ", runs that went on at another server while the one before still "
					+ "worked " + MAX_OVERLAP_MS + " ms later: " + this.overlaps.size());
			this.overlaps.stream().limit(10).forEach(record::say);
			boolean broken = !this.overlaps.isEmpty();
			record.say(broken ? "BROKEN" : "held");
			return broken ? 1 : 0;
		}
	}

	private boolean serve(Kit.Record record, String server, Kit.Request request, OutputStream out) throws IOException {
		if (request.id().isEmpty()) {
			byte[] body = "{\"running\":1,\"waiting\":0,\"kvUsed\":1000,\"kvTotal\":340832,\"born\":5}".getBytes();
			out.write(Kit.answerHead(200, "", "", body.length).getBytes());
			out.write(body);
			return true;
		}
		String lastId = request.header(Kit.name("header.lastid"));
		Run run = new Run(server);
		Run before = this.runs.put(request.id(), run);
		record.add(server + " runs " + request.id() + " after event " + lastId);
		if (before != null) {
			Kit.daemon(() -> checkOverlap(record, request.id(), before, run));
		}
		try {
			out.write(Kit
				.answerHead(200, request.id(), "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n", -1)
				.getBytes());
			int from = lastId.isEmpty() ? 1 : Integer.parseInt(lastId) + 1;
			for (int i = from; i <= EVENTS; i++) {
				String event = "id: " + i + "\ndata: piece " + i + "\n\n";
				out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
				Kit.sleep(EVENT_MS);
				if (this.trouble && before == null && i == PAUSE_AFTER_EVENT) {
					Kit.sleep(PAUSE_MS);
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
			run.working = false;
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

	private void send(Kit.Record record, Kit.Router router, String id) {
		Kit.Answer answer = new Kit.Answer();
		try (Kit.Client client = new Kit.Client(router.front)) {
			client.send(Kit.requestHead("POST", "/resume/" + id, id, DEADLINE_MS, 3,
					Kit.name("header.usage") + ": 1000,60\r\n" + Kit.name("header.model") + ": m\r\n"), "abc".getBytes());
			answer = client.read(DEADLINE_MS + 500);
		}
		catch (IOException ex) {
			answer.failure = ex.getMessage();
		}
		record.add("client gets " + id + " " + answer.status + " complete=" + answer.complete + " events="
				+ (answer.text().split("\n\n", -1).length - 1) + " " + answer.failure);
		synchronized (this) {
			this.outcomes.merge(answer.complete ? "" + answer.status : "no whole answer", 1, Integer::sum);
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
