package io.verbenacleat.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The store performs a renewal of a server 5.8 seconds late, after the entry of that server
 * was removed. With TROUBLE=0 it performs the renewal at once.
 */
final class LateWriteCase {

	private static final String LEAVING = "i-1";

	private static final int SERVERS = 3;

	private static final int CLIENTS = 6;

	private static final long LATE_MS = 5_800;

	private static final long REMOVED_AFTER_MS = 4_000;

	private static final long SERVES_UNTIL_MS = 13_000;

	private static final long HEARTBEAT_MS = 1_200;

	/** The store removes an entry after three heartbeats of silence. */
	private static final long SILENCE_MS = 3 * HEARTBEAT_MS;

	private static final long DRAIN_MS = 2_000;

	private static final long STABLE_WINDOW_MS = 3_000;

	private static final int DEADLINE_MS = 4_000;

	private final Map<String, Long> sentAtMs = new ConcurrentHashMap<>();

	private final Map<String, Long> ranAtLeavingMs = new ConcurrentHashMap<>();

	private final Map<String, Integer> outcomes = new TreeMap<>();

	public static void main(String[] args) throws Exception {
		System.exit(new LateWriteCase().run(Path.of(args[0]), !"0".equals(System.getenv("TROUBLE"))));
	}

	private int run(Path file, boolean trouble) throws Exception {
		List<Kit.Server> servers = new ArrayList<>();
		try (Kit.Record record = new Kit.Record(file);
				FakeStoreServer store = new FakeStoreServer();
				Kit.Router router = new Kit.Router("router1", store.port())) {
			store.put("op", "config", Kit.config(1, 100_000_000));
			for (int i = 1; i <= SERVERS; i++) {
				String id = "i-" + i;
				Kit.Server server = new Kit.Server((request, socket, out) -> {
					if (id.equals(LEAVING)) {
						this.ranAtLeavingMs.put(request.id(), Kit.nowMs());
					}
					record.add(id + " runs " + request.id());
					Kit.sleep(20);
					byte[] body = "{\"ok\":true}".getBytes();
					out.write(Kit.answerHead(200, request.id(), "", body.length).getBytes());
					out.write(body);
					return true;
				});
				servers.add(server);
				store.put("servers", id, Kit.registration("desk", server.port(), 6, "ready", 9, i));
			}
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
			Kit.daemon(() -> renewOthers(store, servers, stop));
			Kit.sleep(6_000);
			Kit.Server leaving = servers.get(0);
			String renewal = Kit.registration("desk", leaving.port(), 6, "ready", 10, 1);
			long startMs = Kit.nowMs();
			record.say(LEAVING + " renews its entry (seq 10), " + (trouble ? "no answer" : "performed at once"));
			if (!trouble) {
				store.put("servers", LEAVING, renewal);
			}
			at(startMs, HEARTBEAT_MS);
			store.put("servers", LEAVING, Kit.registration("desk", leaving.port(), 6, "ready", 11, 1));
			record.say(LEAVING + " renews its entry (seq 11)");
			at(startMs, 2 * HEARTBEAT_MS);
			store.put("servers", LEAVING, Kit.registration("desk", leaving.port(), 6, "ready", 12, 1));
			record.say(LEAVING + " renews its entry (seq 12)");
			at(startMs, REMOVED_AFTER_MS - 800);
			store.put("servers", LEAVING, Kit.registration("desk", leaving.port(), 6, "draining", 13, 1));
			record.say(LEAVING + " reports that it is draining (seq 13)");
			at(startMs, REMOVED_AFTER_MS);
			store.delete("servers", LEAVING);
			long removedMs = Kit.nowMs();
			record.say("the entry of " + LEAVING + " is removed");
			at(startMs, LATE_MS);
			if (trouble) {
				store.put("servers", LEAVING, renewal);
				record.say("the store performs the renewal of " + LEAVING + " with seq 10");
			}
			long judgedFromMs = Kit.nowMs() + STABLE_WINDOW_MS;
			at(startMs, LATE_MS + SILENCE_MS);
			if (trouble) {
				store.delete("servers", LEAVING);
				record.say("the entry of " + LEAVING + " is removed, since it is not renewed");
			}
			at(startMs, SERVES_UNTIL_MS);
			record.say(LEAVING + " exits");
			stop.set(true);
			for (Thread client : clients) {
				client.join(DEADLINE_MS + 2_000);
			}
			return judge(record, removedMs, judgedFromMs);
		}
		finally {
			for (Kit.Server server : servers) {
				server.close();
			}
		}
	}

	private static void renewOthers(FakeStoreServer store, List<Kit.Server> servers, AtomicBoolean stop) {
		try {
			for (int seq = 10; !stop.get(); seq++) {
				Kit.sleep(HEARTBEAT_MS);
				for (int i = 2; i <= SERVERS; i++) {
					store.put("servers", "i-" + i,
							Kit.registration("desk", servers.get(i - 1).port(), 6, "ready", seq, i));
				}
			}
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void at(long startMs, long afterMs) {
		Kit.sleep(startMs + afterMs - Kit.nowMs());
	}

	private int judge(Kit.Record record, long removedMs, long judgedFromMs) {
		int late = 0;
		int lateInTouch = 0;
		for (Map.Entry<String, Long> run : this.ranAtLeavingMs.entrySet()) {
			long sent = this.sentAtMs.getOrDefault(run.getKey(), Long.MIN_VALUE);
			boolean isLate = sent > removedMs + DRAIN_MS && run.getValue() > removedMs + DRAIN_MS;
			late += isLate ? 1 : 0;
			lateInTouch += (isLate && sent > judgedFromMs) ? 1 : 0;
		}
		record.say("outcomes " + this.outcomes);
		record.say("requests that reached " + LEAVING + " later than " + DRAIN_MS + " ms after its removal: " + late
				+ ", of these sent later than " + STABLE_WINDOW_MS + " ms after the late write: " + lateInTouch);
		boolean broken = lateInTouch > 0;
		record.say(broken ? "BROKEN" : "held");
		return broken ? 1 : 0;
	}

	private void send(Kit.Record record, Kit.Router router, String name, AtomicBoolean stop) {
		int n = 0;
		while (!stop.get()) {
			try (Kit.Client client = new Kit.Client(router.front)) {
				boolean open = true;
				while (open && !stop.get()) {
					String id = name + "x" + n++;
					this.sentAtMs.put(id, Kit.nowMs());
					client.send(Kit.requestHead("POST", "/book/" + id, id, DEADLINE_MS, 3, ""), "abc".getBytes());
					Kit.Answer answer = client.read(DEADLINE_MS);
					synchronized (this) {
						this.outcomes.merge(answer.complete ? "" + answer.status : "no whole answer", 1, Integer::sum);
					}
					record.add("client gets " + id + " status=" + answer.status + " complete=" + answer.complete);
					open = answer.complete;
					Kit.sleep(80);
				}
			}
			catch (IOException ex) {
				Kit.sleep(100);
			}
		}
	}

}
