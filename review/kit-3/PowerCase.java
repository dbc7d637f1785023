package io.verbenacleat.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * All routers lose power once for 3.5 seconds, and the clients of one tenant go on until its
 * prepaid tokens are used up. With TROUBLE=0 the routers keep running.
 */
final class PowerCase {

	private static final long PREPAID_TOKENS = 2_500_000;

	private static final int MAX_OUTPUT_TOKENS = 60;

	private static final int TOKENS_PER_EVENT = 4;

	private static final int ROUTERS = 3;

	private static final int CLIENTS = 12;

	private static final long DARK_MS = 3_500;

	private static final long STABLE_WINDOW_MS = 3_000;

	private static final int DEADLINE_MS = 4_000;

	/** What requests have used for certain and at most, and which 402 were wrong. */
	private long usedTokens;

	private long usedAtMostTokens;

	private int requests;

	private int denied;

	private int wronglyDenied;

	private long usedAtFirstDenial = -1;

	private final Map<String, Integer> outcomes = new ConcurrentHashMap<>();

	private volatile long judgedFromMs = Long.MAX_VALUE;

	private final AtomicBoolean stop = new AtomicBoolean();

	public static void main(String[] args) throws Exception {
		System.exit(new PowerCase().run(Path.of(args[0]), !"0".equals(System.getenv("TROUBLE"))));
	}

	private int run(Path file, boolean trouble) throws Exception {
		Map<String, Integer> runs = new ConcurrentHashMap<>();
		try (Kit.Record record = new Kit.Record(file);
				FakeStoreServer store = new FakeStoreServer();
				Kit.Server first = new Kit.Server((request, socket, out) -> stream(record, request, out, runs));
				Kit.Server second = new Kit.Server((request, socket, out) -> stream(record, request, out, runs))) {
			store.put("op", "config", Kit.config(1, PREPAID_TOKENS));
			store.put("servers", "i-1", Kit.registration("pool", first.port(), 64, "ready", 1, 5));
			store.put("servers", "i-2", Kit.registration("pool", second.port(), 64, "ready", 1, 5));
			List<Kit.Router> routers = new ArrayList<>();
			for (int i = 0; i < ROUTERS; i++) {
				routers.add(new Kit.Router("router" + i, store.port()));
			}
			String[] seeds = routers.stream().map((router) -> "127.0.0.1:" + router.control).toArray(String[]::new);
			if (!start(routers, true, seeds)) {
				record.say("the routers are not ready");
				return 2;
			}
			record.say("the routers are ready");
			Kit.sleep(2_000);
			List<Thread> clients = new ArrayList<>();
			for (int c = 0; c < CLIENTS; c++) {
				int number = c;
				clients.add(Kit.daemon(() -> send(record, routers, number)));
			}
			Kit.sleep(15_000);
			record.say("used before: " + used());
			if (trouble) {
				record.say("all routers lose power");
				for (Kit.Router router : routers) {
					router.kill();
				}
				Kit.sleep(DARK_MS);
				if (!start(routers, false, seeds)) {
					record.say("the routers are not ready again");
					return 2;
				}
				record.say("the routers are ready again");
			}
			this.judgedFromMs = Kit.nowMs() + STABLE_WINDOW_MS;
			long endMs = Kit.nowMs() + 70_000;
			while (Kit.nowMs() < endMs && used() < PREPAID_TOKENS * 0.97 && wronglyDenied() < 400) {
				Kit.sleep(200);
			}
			this.stop.set(true);
			for (Thread client : clients) {
				client.join(DEADLINE_MS + 2_000);
			}
			for (Kit.Router router : routers) {
				router.output().lines().filter((line) -> line.contains("grant.takeover")).forEach(record::add);
				router.close();
			}
			return judge(record);
		}
	}

	private static boolean start(List<Kit.Router> routers, boolean bootstrap, String[] seeds) throws IOException {
		for (Kit.Router router : routers) {
			router.start(bootstrap, seeds);
		}
		boolean ready = true;
		for (Kit.Router router : routers) {
			ready &= router.awaitReady(20_000);
		}
		return ready;
	}

	private synchronized long used() {
		return this.usedTokens;
	}

	private synchronized int wronglyDenied() {
		return this.wronglyDenied;
	}

	private synchronized int judge(Kit.Record record) {
		int allowed = 5 + this.requests / 500;
		record.say("prepaid " + PREPAID_TOKENS + ", used " + this.usedTokens + " (at most " + this.usedAtMostTokens
				+ "), outcomes " + this.outcomes);
		record.say("tokens used when the first 402 came: " + this.usedAtFirstDenial);
		record.say("requests by machines in touch: " + this.requests + ", answered 402: " + this.denied
				+ ", of these covered by 97 in 100 of the prepaid tokens: " + this.wronglyDenied + ", allowed "
				+ allowed);
		boolean broken = this.wronglyDenied > allowed;
		record.say(broken ? "BROKEN" : "held");
		return broken ? 1 : 0;
	}

	private static boolean stream(Kit.Record record, Kit.Request request, java.io.OutputStream out,
			Map<String, Integer> runs) throws IOException {
		if (request.id().isEmpty()) {
			byte[] body = "{\"running\":0,\"waiting\":0,\"born\":5}".getBytes();
			out.write(Kit.answerHead(200, "", "", body.length).getBytes());
			out.write(body);
			return true;
		}
		runs.merge(request.id(), 1, Integer::sum);
		int events = 5 + new Random(request.id().hashCode()).nextInt(8);
		record.add("server runs " + request.id() + " events=" + events);
		out.write(Kit
			.answerHead(200, request.id(), "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n", -1)
			.getBytes());
		for (int i = 1; i <= events; i++) {
			String event = "id: " + i + "\ndata: x\n\n";
			out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
			Kit.sleep(10);
		}
		out.write("0\r\n\r\n".getBytes());
		return true;
	}

	private void send(Kit.Record record, List<Kit.Router> routers, int number) {
		Random random = new Random(number);
		int n = 0;
		while (!this.stop.get()) {
			Kit.Router router = routers.get(random.nextInt(ROUTERS));
			try (Kit.Client client = new Kit.Client(router.front)) {
				boolean open = true;
				for (int k = 0; k < 10 && open && !this.stop.get(); k++) {
					open = sendOne(record, client, router, "c" + number + "x" + n++, 100 + random.nextInt(3_000));
					Kit.sleep(random.nextInt(500));
				}
			}
			catch (IOException ex) {
				Kit.sleep(100);
			}
		}
	}

	private boolean sendOne(Kit.Record record, Kit.Client client, Kit.Router router, String id, int inputTokens)
			throws IOException {
		long sentAtMs = Kit.nowMs();
		int mostTokens = inputTokens + MAX_OUTPUT_TOKENS;
		boolean covered;
		synchronized (this) {
			this.usedAtMostTokens += mostTokens;
			covered = this.usedAtMostTokens <= PREPAID_TOKENS * 0.97;
		}
		String head = Kit.requestHead("POST", "/stream/" + id, id, DEADLINE_MS, 3,
				Kit.name("header.usage") + ": " + inputTokens + "," + MAX_OUTPUT_TOKENS + "\r\n");
		Kit.Answer answer = new Kit.Answer();
		try {
			client.send(head, "abc".getBytes());
			answer = client.read(DEADLINE_MS);
		}
		finally {
			count(sentAtMs, answer, inputTokens, mostTokens, covered);
			record.add("client gets " + id + " of " + router.name + " " + inputTokens + " tokens: " + answer.status
					+ " complete=" + answer.complete + " " + answer.failure);
		}
		if (answer.status != 200) {
			Kit.sleep(100);
		}
		return answer.complete && answer.status == 200;
	}

	private synchronized void count(long sentAtMs, Kit.Answer answer, int inputTokens, int mostTokens,
			boolean covered) {
		this.outcomes.merge(answer.complete ? "" + answer.status : "none", 1, Integer::sum);
		if (answer.complete) {
			this.usedAtMostTokens -= mostTokens;
		}
		if (answer.status == 200) {
			int events = answer.text().split("\n\n", -1).length - 1;
			long tokens = inputTokens + (long) events * TOKENS_PER_EVENT;
			this.usedTokens += tokens;
			this.usedAtMostTokens += answer.complete ? tokens : 0;
		}
		if (sentAtMs < this.judgedFromMs) {
			return;
		}
		this.requests++;
		if (answer.complete && answer.status == 402) {
			this.denied++;
			this.wronglyDenied += covered ? 1 : 0;
			if (this.usedAtFirstDenial < 0) {
				this.usedAtFirstDenial = this.usedTokens;
			}
		}
	}

}
