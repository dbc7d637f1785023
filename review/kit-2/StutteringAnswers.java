import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One of two servers stops within the body of some answers and sends another answer. */
final class StutteringAnswers implements Case {

	private static final int CLIENTS = 10;

	private static final int REQUESTS = 60;

	private static final int SPOILED_EVERY = 20;

	private final AtomicInteger whole = new AtomicInteger();

	private final Set<String> wrong = ConcurrentHashMap.newKeySet();

	private final AtomicInteger failed = new AtomicInteger();

	@Override
	public boolean play(Bench bench, boolean trouble) throws Exception {
		StutteringServer faulty = bench.stutteringServer("i-02d9e6b4", trouble ? SPOILED_EVERY : 0);
		bench.stutteringServer("i-5c1e07a2", 0);
		List<Router> routers = List.of(bench.router(), bench.router());
		bench.store.put("op", "config", Config.of(3, 0, 10, 2_000_000));
		for (Router router : routers) {
			bench.start(router, true);
		}
		for (Router router : routers) {
			router.awaitReady(200, 20_000);
		}
		Thread.sleep(3_000);
		ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
		for (int i = 0; i < CLIENTS; i++) {
			int number = i;
			Router router = routers.get(i % routers.size());
			clients.execute(() -> requests(bench, router, number));
		}
		clients.shutdown();
		clients.awaitTermination(60, TimeUnit.SECONDS);
		bench.record.say("requests %d, successes with the whole body %d, failures %d", CLIENTS * REQUESTS,
				this.whole.get(), this.failed.get());
		Set<String> again = new TreeSet<>(this.wrong);
		again.retainAll(faulty.answeredAgain);
		bench.record.say("stopped and answered again: %d, of these a success whose body is not the server's: %d",
				faulty.answeredAgain.size(), again.size());
		Set<String> foreign = new TreeSet<>(this.wrong);
		foreign.retainAll(faulty.previousRepeated);
		bench.record.say("stopped and sent a late copy of the answer before: %d, of these a success that holds the "
				+ "answer to another request: %d", faulty.previousRepeated.size(), foreign.size());
		return this.wrong.isEmpty();
	}

	private void requests(Bench bench, Router router, int client) {
		try (Caller caller = new Caller(router.host())) {
			for (int i = 0; i < REQUESTS; i++) {
				Caller.Request request = Config.lookup("c%02d%03d".formatted(client, i), client % 10);
				try {
					Caller.Answer answer = caller.call(request);
					boolean success = answer.status() == 200;
					boolean right = answer.body().equals(StutteringServer.body(request.id));
					if (success && !right) {
						this.wrong.add(request.id);
					}
					else {
						(success ? this.whole : this.failed).incrementAndGet();
					}
					bench.record.line("client: %s: %d %s", request.id, answer.status(),
							(success && !right) ? "with a body that is not the server's: " + answer.body() : "");
				}
				catch (IOException ex) {
					this.failed.incrementAndGet();
					bench.record.line("client: %s: %s", request.id, ex);
				}
			}
		}
		catch (IOException ex) {
			bench.record.line("client %d: %s", client, ex);
		}
	}

}
