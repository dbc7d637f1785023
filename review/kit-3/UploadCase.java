package io.verbenacleat.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients send bodies of the largest allowed size at the same time, while others send
 * small requests. With TROUBLE=0 the same bodies are sent four at a time.
 */
final class UploadCase {

	private static final int UPLOADS = Integer.getInteger("uploads", 56);

	private static final int BODY_BYTES = 4_194_304;

	private static final int UPLOAD_MS = 2_200;

	private static final int SMALL_CLIENTS = 24;

	private static final long ROUTE_TIMEOUT_MS = 2_000;

	private static final long SLACK_MS = 500;

	private static final int DEADLINE_MS = 4_000;

	private static final int MIN_LATE = 8;

	private UploadCase() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int code = 2;
		try (Kit.Record record = new Kit.Record(Path.of(args[0]));
				FakeStoreServer store = new FakeStoreServer();
				Kit.Server desk = new Kit.Server((request, socket, out) -> {
					record.add("server runs " + request.id() + " " + request.path() + " body=" + request.body().length);
					Kit.sleep(20);
					byte[] body = "{\"ok\":true}".getBytes();
					out.write(Kit.answerHead(200, request.id(), "", body.length).getBytes());
					out.write(body);
					return true;
				});
				Kit.Router router = new Kit.Router("router1", store.port())) {
			store.put("op", "config", Kit.config(1, 100_000_000));
			store.put("servers", "i-1", Kit.registration("desk", desk.port(), 6, "ready", 1, 5));
			router.start(true);
			if (router.awaitReady(30_000)) {
				code = play(record, router, trouble);
			}
			else {
				record.say("the router is not ready");
			}
		}
		System.exit(code);
	}

	private static int play(Kit.Record record, Kit.Router router, boolean trouble) throws Exception {
		record.say("the router is ready");
		Kit.sleep(4_000);
		AtomicBoolean stop = new AtomicBoolean();
		List<Kit.Answer> answers = new ArrayList<>();
		List<Long> elapsed = new ArrayList<>();
		List<Thread> clients = new ArrayList<>();
		for (int c = 0; c < SMALL_CLIENTS; c++) {
			int number = c;
			clients.add(Kit.daemon(() -> sendSmall(record, router, number, stop, answers, elapsed)));
		}
		Kit.sleep(4_000);
		Map<String, Integer> outcomes = new TreeMap<>();
		AtomicInteger whole = new AtomicInteger();
		Semaphore atOnce = new Semaphore(trouble ? UPLOADS : 4);
		List<Thread> uploads = new ArrayList<>();
		long startedAtMs = Kit.nowMs();
		record.say("uploads begin");
		for (int u = 0; u < UPLOADS; u++) {
			String id = "u" + u;
			uploads.add(Kit.daemon(() -> upload(record, router, id, atOnce, trouble ? UPLOAD_MS : 200, whole, outcomes)));
		}
		for (Thread upload : uploads) {
			upload.join();
		}
		record.say("uploads have ended after " + (Kit.nowMs() - startedAtMs) + " ms: " + whole + " of " + UPLOADS
				+ " were sent whole, outcomes " + outcomes);
		Kit.sleep(6_000);
		stop.set(true);
		for (Thread client : clients) {
			client.join(DEADLINE_MS + 2_000);
		}
		long waitedMs = Kit.nowMs();
		boolean ready = false;
		while (!ready && Kit.nowMs() - startedAtMs < 60_000) {
			ready = router.isReady();
		}
		record.say("process alive " + router.isAlive() + ", ready " + ready + " "
				+ (Kit.nowMs() - startedAtMs) + " ms after the uploads began");
		int beyondTimeout = 0;
		int late = 0;
		int ok = 0;
		synchronized (answers) {
			for (int i = 0; i < answers.size(); i++) {
				boolean complete = answers.get(i).complete;
				ok += (complete && answers.get(i).status == 200) ? 1 : 0;
				beyondTimeout += (!complete || elapsed.get(i) > ROUTE_TIMEOUT_MS) ? 1 : 0;
				late += (!complete || elapsed.get(i) > ROUTE_TIMEOUT_MS + SLACK_MS) ? 1 : 0;
			}
			record.say("small requests: " + answers.size() + ", answered 200: " + ok + ", unanswered at "
					+ ROUTE_TIMEOUT_MS + " ms: " + beyondTimeout + ", still unanswered " + SLACK_MS + " ms later: " + late);
		}
		boolean broken = late >= MIN_LATE && late * 4 > beyondTimeout;
		record.say(broken ? "BROKEN" : "held");
		return broken ? 1 : 0;
	}

	private static void sendSmall(Kit.Record record, Kit.Router router, int number, AtomicBoolean stop,
			List<Kit.Answer> answers, List<Long> elapsed) {
		int n = 0;
		while (!stop.get()) {
			try (Kit.Client client = new Kit.Client(router.front)) {
				boolean open = true;
				while (open && !stop.get()) {
					String id = "s" + number + "x" + n++;
					record.add("client sends " + id);
					long sentAtMs = Kit.nowMs();
					client.send(Kit.requestHead("GET", "/look/" + id, id, DEADLINE_MS, 0, ""), null);
					Kit.Answer answer = client.read(DEADLINE_MS);
					record.add("client gets " + id + " status=" + answer.status + " complete=" + answer.complete + " "
							+ answer.failure);
					synchronized (answers) {
						answers.add(answer);
						elapsed.add(Kit.nowMs() - sentAtMs);
					}
					open = answer.complete;
					Kit.sleep(100);
				}
			}
			catch (IOException ex) {
				record.add("client " + number + " cannot connect or send: " + ex.getMessage());
				Kit.sleep(200);
			}
		}
	}

	private static void upload(Kit.Record record, Kit.Router router, String id, Semaphore atOnce, long durationMs,
			AtomicInteger whole, Map<String, Integer> outcomes) {
		String outcome;
		atOnce.acquireUninterruptibly();
		try (Kit.Client client = new Kit.Client(router.front)) {
			record.add("client uploads " + id);
			long startMs = Kit.nowMs();
			client.send(Kit.requestHead("POST", "/book/" + id, id, DEADLINE_MS, BODY_BYTES, ""), null);
			byte[] body = new byte[65_536];
			int steps = BODY_BYTES / body.length;
			for (int step = 0; step < steps; step++) {
				client.out.write(body);
				Kit.sleep(startMs + durationMs * step / steps - Kit.nowMs());
			}
			whole.incrementAndGet();
			long leftMs = Math.max(1, DEADLINE_MS - (Kit.nowMs() - startMs));
			Kit.Answer answer = client.read((int) leftMs);
			outcome = answer.complete ? "" + answer.status : answer.failure;
		}
		catch (IOException ex) {
			outcome = "not sent whole: " + ex.getMessage();
		}
		finally {
			atOnce.release();
		}
		record.add("client gets " + id + " " + outcome);
		synchronized (outcomes) {
			outcomes.merge(outcome, 1, Integer::sum);
		}
	}

}
