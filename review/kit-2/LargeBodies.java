import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send bodies of the allowed size at the same time; others do lookups. */
final class LargeBodies implements Case {

	private static final int UPLOADS = 64;

	private static final int BODY_BYTES = 4_000_000;

	/** Each upload takes 2.8 s, so all together stay under the 125 MB/s of the link. */
	private static final int SLICES = 28;

	private static final int SLICE_MS = 100;

	private static final int CLIENTS = 20;

	/** While clients press beyond the usual, and 5 s after, a machine counts as slowed. */
	private static final int AFTER_MS = 5_500;

	private static final int SECONDS = 8;

	@Override
	public boolean play(Bench bench, boolean trouble) throws Exception {
		bench.server(Bench.ENGINES, "i-7f3a91c2", 5, 20);
		bench.server(Bench.DESK, "i-02d9e6b4", 1, 0);
		Router router = bench.router();
		bench.store.put("op", "config", Config.of(3, 10, 200_000_000));
		bench.start(router, true);
		router.awaitReady(200, 20_000);
		Thread.sleep(4_000);
		ExecutorService executor = Executors.newCachedThreadPool();
		List<Caller> kept = new ArrayList<>();
		Counts before = new Counts();
		for (int i = 0; i < CLIENTS; i++) {
			Caller caller = new Caller(router.host());
			kept.add(caller);
			lookup(bench, caller, "b%04d".formatted(i), i % 10, before);
		}
		AtomicInteger answered = new AtomicInteger();
		for (int i = 0; trouble && i < UPLOADS; i++) {
			int number = i;
			executor.execute(() -> upload(bench, router, answered, number));
		}
		Thread.sleep(SLICES * SLICE_MS + AFTER_MS);
		bench.record.line("lookups on the kept connections begin");
		Counts counts = new Counts();
		List<Future<?>> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			int number = i;
			clients.add(executor.submit(() -> lookups(bench, kept.get(number), number, counts)));
		}
		for (Future<?> client : clients) {
			client.get();
		}
		executor.shutdown();
		executor.awaitTermination(20, TimeUnit.SECONDS);
		bench.record.say("lookups before: %d, answered %d", before.sent.get(), before.answered.get());
		bench.record.say("large requests with an answer: %d of %d", answered.get(), trouble ? UPLOADS : 0);
		bench.record.say("lookups later than 5 s after: %d, answered %d, unanswered at the route's timeout %d, "
				+ "of these without an answer half a second later %d", counts.sent.get(), counts.answered.get(),
				counts.late.get(), counts.later.get());
		return 2 * counts.later.get() <= counts.late.get();
	}

	private static void lookups(Bench bench, Caller caller, int client, Counts counts) {
		long endNanos = System.nanoTime() + SECONDS * 1_000_000_000L;
		for (int i = 0; System.nanoTime() < endNanos; i++) {
			lookup(bench, caller, "a%02d%03d".formatted(client, i), client % 10, counts);
			try {
				Thread.sleep(400);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private static void lookup(Bench bench, Caller caller, String id, int tenant, Counts counts) {
		long sentNanos = System.nanoTime();
		counts.sent.incrementAndGet();
		String outcome;
		try {
			Caller.Answer answer = caller.call(Config.lookup(id, tenant));
			counts.answered.incrementAndGet();
			outcome = Integer.toString(answer.status());
		}
		catch (IOException ex) {
			outcome = ex.toString();
		}
		long tookMs = (System.nanoTime() - sentNanos) / 1_000_000;
		bench.record.line("client: lookup %s: %s after %d ms", id, outcome, tookMs);
		if (tookMs > Config.LOOKUP_TIMEOUT_MS) {
			counts.late.incrementAndGet();
		}
		if (tookMs > Config.LOOKUP_TIMEOUT_MS + 500) {
			counts.later.incrementAndGet();
		}
	}

	private static void upload(Bench bench, Router router, AtomicInteger answered, int number) {
		String id = "u%04d".formatted(number);
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(router.host(), Router.CALLER_PORT), 1_000);
			OutputStream out = socket.getOutputStream();
			byte[] slice = new byte[BODY_BYTES / SLICES];
			out.write(new Caller.Request("POST", Config.STREAMS, Bench.HOST, id, Config.key(number % 10), 15_000,
					new byte[0], BODY_BYTES)
				.with(Wire.name("request.model"), "m")
				.with(Wire.name("request.tokens"), "1460,80")
				.head());
			bench.record.line("client: %s sends %d bytes", id, BODY_BYTES);
			for (int i = 0; i < SLICES; i++) {
				out.write(slice);
				Thread.sleep(SLICE_MS);
			}
			bench.record.line("client: %s is sent", id);
			socket.setSoTimeout(12_500);
			byte[] first = socket.getInputStream().readNBytes(12);
			bench.record.line("client: %s: '%s'", id, new String(first, StandardCharsets.ISO_8859_1));
			if (first.length == 12) {
				answered.incrementAndGet();
			}
		}
		catch (IOException ex) {
			bench.record.line("client: %s: %s", id, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static final class Counts {

		private final AtomicInteger sent = new AtomicInteger();

		private final AtomicInteger answered = new AtomicInteger();

		private final AtomicInteger late = new AtomicInteger();

		private final AtomicInteger later = new AtomicInteger();

	}

}
