package io.verbenacleat.bench.weights;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.agent.command.CommandMetrics;
import io.verbenacleat.agent.command.DesiredState;
import io.verbenacleat.agent.command.EngineReconciler;
import io.verbenacleat.agent.command.FirstCopyPolicy;
import io.verbenacleat.agent.command.JitteredRetryPolicy;
import io.verbenacleat.agent.command.PermitPolicy;
import io.verbenacleat.core.control.ManualControlThread;

/**
 * One restart of a zone: the reconcilers of 100 agents with empty engines start within a
 * time, and each loads one of 8 models, a few of which most servers have. Used by one
 * thread.
 */
final class ZoneRestart {

	private static final int AGENTS = 100;

	private static final int MODELS = 8;

	private static final Duration STEP = Duration.ofSeconds(10);

	private static final Duration LIMIT = Duration.ofHours(3);

	private final ManualControlThread control = new ManualControlThread(Instant.EPOCH.plus(Duration.ofDays(1)));

	private final long startMs = this.control.clock().millis();

	private final CountedTable table = new CountedTable(this.control);

	private final CommandMetrics metrics = new CommandMetrics(new PrometheusRegistry());

	private final Map<String, Long> firstMs = new HashMap<>();

	private final List<Long> loadedMs = new ArrayList<>();

	private final SplittableRandom random;

	private final LimitedStore store;

	private final Scheme scheme;

	private final int perMinute;

	private final int startSeconds;

	ZoneRestart(Scheme scheme, int perMinute, int startSeconds, long seed) {
		this.startSeconds = startSeconds;
		this.scheme = scheme;
		this.perMinute = perMinute;
		this.random = new SplittableRandom(seed);
		this.store = new LimitedStore(this.control, perMinute);
	}

	Result run() {
		for (int i = 0; i < AGENTS; i++) {
			start("agent-" + i, "model-" + model(i));
		}
		while (this.loadedMs.size() < AGENTS && elapsedMs() < LIMIT.toMillis()) {
			this.control.advance(STEP);
		}
		long lastFirstMs = this.firstMs.values().stream().mapToLong(Long::longValue).max().orElse(0);
		long lastMs = this.loadedMs.stream().mapToLong(Long::longValue).max().orElse(0);
		return new Result(this.loadedMs.size(), this.firstMs.size(), lastFirstMs / 1_000.0, lastMs / 1_000.0,
				this.store.refused(), this.store.peakPerSecond(), this.table.reads(), this.table.writes());
	}

	private void start(String agent, String model) {
		PermitPolicy policy = policy(agent);
		EngineReconciler reconciler = new EngineReconciler(this.control, () -> CompletableFuture.completedFuture(false),
				policy, this.metrics);
		SimulatedEngine engine = new SimulatedEngine(this.control, this::loaded);
		DesiredState desired = new DesiredState(List.of(model), List.of(), null);
		this.control.schedule(Duration.ofMillis(this.random.nextLong(this.startSeconds * 1_000L)),
				() -> reconciler.apply(desired, engine));
	}

	private PermitPolicy policy(String agent) {
		PermitPolicy longJitter = new JitteredRetryPolicy(this.store, this.random.split(), Duration.ofHours(1));
		PermitPolicy shortJitter = new JitteredRetryPolicy(this.store, this.random.split(),
				JitteredRetryPolicy.MAX_JITTER);
		return switch (this.scheme) {
			case NO_JITTER -> new PlainRetries(this.store);
			case LONG_JITTER -> longJitter;
			case SHORT_JITTER -> shortJitter;
			case CLAIMS_LONG_JITTER -> claims(agent, longJitter);
			case CLAIMS_SHORT_JITTER -> claims(agent, shortJitter);
			case SLOTS ->
				new SlotQueue(agent, false, this.perMinute, this.control, this.table, this.store, this.random.split());
			case SLOTS_FIRST_COPY ->
				new SlotQueue(agent, true, this.perMinute, this.control, this.table, this.store, this.random.split());
		};
	}

	private PermitPolicy claims(String agent, PermitPolicy others) {
		return new FirstCopyPolicy("zone", agent, this.table, this.control, others, this.random.split());
	}

	private void loaded(String model) {
		this.loadedMs.add(elapsedMs());
		this.firstMs.putIfAbsent(model, elapsedMs());
	}

	private long elapsedMs() {
		return this.control.clock().millis() - this.startMs;
	}

	/**
	 * Returns the model of an agent: shares in proportion to 1, 1/2, 1/3 and so on.
	 * @param agent the number of the agent
	 * @return the number of the model
	 */
	private static int model(int agent) {
		double total = 0;
		for (int i = 1; i <= MODELS; i++) {
			total += 1.0 / i;
		}
		double share = (agent + 0.5) / AGENTS * total;
		int model = 0;
		while (model < MODELS - 1 && share > 1.0 / (model + 1)) {
			share -= 1.0 / (model + 1);
			model++;
		}
		return model;
	}

	/**
	 * How the agents share the rate.
	 */
	enum Scheme {

		/** Each agent asks again at the end of the Retry-After. */
		NO_JITTER,

		/** After the Retry-After and jitter of up to the same time. */
		LONG_JITTER,

		/** After the Retry-After and jitter of up to the bound of the product. */
		SHORT_JITTER,

		/** Long jitter, and the first copy of each model goes first. */
		CLAIMS_LONG_JITTER,

		/** Short jitter, and the first copy of each model goes first. */
		CLAIMS_SHORT_JITTER,

		/** Slots from a row, in the order of arrival. */
		SLOTS,

		/** Slots from a row, first copies first. */
		SLOTS_FIRST_COPY

	}

	/**
	 * What one restart took. Immutable.
	 *
	 * @param loaded how many agents have loaded their model
	 * @param models how many models have a server
	 * @param firstSeconds when the last model got its first server
	 * @param allSeconds when the last agent had loaded its model
	 * @param refused fetches that the store refused
	 * @param peakPerSecond the most fetches in one second
	 * @param reads reads of the table service
	 * @param writes transactions of the table service, conflicts included
	 */
	record Result(int loaded, int models, double firstSeconds, double allSeconds, long refused, long peakPerSecond,
			long reads, long writes) {

		boolean isComplete() {
			return this.loaded == AGENTS && this.models == MODELS;
		}

	}

}
