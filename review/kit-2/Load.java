import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** Sends requests at a steady rate and counts their outcomes. */
final class Load {

	private final Record record;

	private final Map<String, Integer> outcomes = new TreeMap<>();

	final AtomicInteger sent = new AtomicInteger();

	final AtomicInteger served = new AtomicInteger();

	final AtomicInteger own4xx = new AtomicInteger();

	Load(Record record) {
		this.record = record;
	}

	/** Plays requests for some seconds and waits for their ends. */
	void play(String name, List<Router> routers, int perS, int seconds, IntFunction<Caller.Request> requests)
			throws InterruptedException {
		ExecutorService executor = Executors.newCachedThreadPool();
		long startNanos = System.nanoTime();
		for (int i = 0; i < perS * seconds; i++) {
			long dueNanos = startNanos + i * 1_000_000_000L / perS;
			TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
			Caller.Request request = requests.apply(i);
			Router router = routers.get(i % routers.size());
			executor.execute(() -> call(router, request));
		}
		executor.shutdown();
		executor.awaitTermination(20, TimeUnit.SECONDS);
		this.record.say("%s: %d requests, %d served; %s", name, this.sent.get(), this.served.get(), this.outcomes);
	}

	private void call(Router router, Caller.Request request) {
		this.sent.incrementAndGet();
		String outcome;
		try (Caller caller = new Caller(router.host())) {
			Caller.Answer answer = caller.call(request);
			boolean sealed = answer.headers().containsKey(Wire.name("server.seal"));
			if (answer.status() == 200 && sealed) {
				this.served.incrementAndGet();
			}
			boolean own = answer.status() >= 300 && answer.status() < 500 && !sealed;
			if (own && answer.status() != 408 && answer.status() != 421 && answer.status() != 429) {
				this.own4xx.incrementAndGet();
			}
			outcome = answer.status() + ((answer.status() == 200 || sealed) ? "" : " of the router");
			this.record.line("client: %s to %s: %s %s", request.id, router.host(), outcome,
					(answer.status() == 200) ? "" : answer.body());
		}
		catch (IOException ex) {
			outcome = "no answer";
			this.record.line("client: %s to %s: %s", request.id, router.host(), ex);
		}
		synchronized (this.outcomes) {
			this.outcomes.merge(outcome, 1, Integer::sum);
		}
	}

}
