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
 * Simulates one restart of a zone. The reconcilers of 100 agents with empty engines start
 * within a given time, and each loads one of 8 models. Most agents load one of the few
 * most common models. Used for one run. Not safe for use by several threads.
 */
final class ZoneRestart {

	private static final int AGENTS = 100;

	private static final int MODELS = 8;

	private static final Duration STEP = Duration.ofSeconds(10);

	private static final Duration MAX_DURATION = Duration.ofHours(3);

	private final ManualControlThread control = new ManualControlThread(Instant.EPOCH.plus(Duration.ofDays(1)));

	private final long startMs = this.control.clock().millis();

	private final CountingTableStore table = new CountingTableStore(this.control);

	private final CommandMetrics metrics = new CommandMetrics(new PrometheusRegistry());

	private final Map<String, Long> firstLoadedMs = new HashMap<>();

	private final List<Long> loadedMs = new ArrayList<>();

	private final SplittableRandom random;

	private final RateLimitedWeightStore store;

	private final Scheme scheme;

	private final int perMinute;

	private final int startSeconds;

	ZoneRestart(Scheme scheme, int perMinute, int startSeconds, long seed) {
		this.startSeconds = startSeconds;
		this.scheme = scheme;
		this.perMinute = perMinute;
		this.random = new SplittableRandom(seed);
		this.store = new RateLimitedWeightStore(this.control, perMinute);
	}

	Result run() {
		for (int i = 0; i < AGENTS; i++) {
			startAgent("agent-" + i, "model-" + model(i));
		}
		while (this.loadedMs.size() < AGENTS && elapsedMs() < MAX_DURATION.toMillis()) {
			this.control.advance(STEP);
		}
		long lastFirstMs = this.firstLoadedMs.values().stream().mapToLong(Long::longValue).max().orElse(0);
		long lastMs = this.loadedMs.stream().mapToLong(Long::longValue).max().orElse(0);
		return new Result(this.loadedMs.size(), this.firstLoadedMs.size(), lastFirstMs / 1_000.0, lastMs / 1_000.0,
				this.store.refused(), this.store.peakPerSecond(), this.table.reads(), this.table.writes());
	}

	private void startAgent(String agent, String model) {
		PermitPolicy policy = policy(agent);
		EngineReconciler reconciler = new EngineReconciler(this.control, () -> CompletableFuture.completedFuture(false),
				policy, this.metrics);
		SimulatedEngine engine = new SimulatedEngine(this.control, this::onLoaded);
		DesiredState desired = new DesiredState(List.of(model), List.of(), null);
		this.control.schedule(Duration.ofMillis(this.random.nextLong(this.startSeconds * 1_000L)),
				() -> reconciler.apply(desired, engine));
	}

	private PermitPolicy policy(String agent) {
		PermitPolicy longJitter = new JitteredRetryPolicy(this.store, this.random.split(), Duration.ofHours(1));
		PermitPolicy shortJitter = new JitteredRetryPolicy(this.store, this.random.split(),
				JitteredRetryPolicy.MAX_JITTER);
		return switch (this.scheme) {
			case NO_JITTER -> new NoJitterPolicy(this.store);
			case LONG_JITTER -> longJitter;
			case SHORT_JITTER -> shortJitter;
			case CLAIMS_LONG_JITTER -> claimPolicy(agent, longJitter);
			case CLAIMS_SHORT_JITTER -> claimPolicy(agent, shortJitter);
			case SLOTS ->
				new SlotQueue(agent, false, this.perMinute, this.control, this.table, this.store, this.random.split());
			case SLOTS_FIRST_COPY ->
				new SlotQueue(agent, true, this.perMinute, this.control, this.table, this.store, this.random.split());
		};
	}

	private PermitPolicy claimPolicy(String agent, PermitPolicy fallback) {
		return new FirstCopyPolicy("zone", agent, this.table, this.control, fallback, this.random.split());
	}

	private void onLoaded(String model) {
		this.loadedMs.add(elapsedMs());
		this.firstLoadedMs.putIfAbsent(model, elapsedMs());
	}

	private long elapsedMs() {
		return this.control.clock().millis() - this.startMs;
	}

	/**
	 * Returns the model of an agent. The shares of the models are proportional to 1, 1/2,
	 * 1/3 and so on.
	 * @param agent the index of the agent
	 * @return the index of the model
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
	 * The scheme by which the agents share the rate limit.
	 */
	enum Scheme {

		/** Each agent retries at the end of the Retry-After. */
		NO_JITTER,

		/**
		 * Each agent retries after the Retry-After plus jitter of up to the same time.
		 */
		LONG_JITTER,

		/**
		 * Each agent retries after the Retry-After plus jitter of up to the limit of the
		 * product.
		 */
		SHORT_JITTER,

		/** Long jitter, and the first copy of each model has precedence. */
		CLAIMS_LONG_JITTER,

		/** Short jitter, and the first copy of each model has precedence. */
		CLAIMS_SHORT_JITTER,

		/** Slots from a row, in order of arrival. */
		SLOTS,

		/** Slots from a row, with precedence for the first copy of each model. */
		SLOTS_FIRST_COPY

	}

	/**
	 * The measurements of one restart. Immutable.
	 *
	 * @param loaded the number of agents that have loaded their model
	 * @param models the number of models that have a server
	 * @param firstSeconds the time until each model had a server, in seconds
	 * @param allSeconds the time until the last agent had loaded its model, in seconds
	 * @param refused the number of fetches that the store refused
	 * @param peakPerSecond the maximum number of fetches in one second
	 * @param reads the number of reads from the table service
	 * @param writes the number of transactions of the table service, including conflicts
	 */
	record Result(int loaded, int models, double firstSeconds, double allSeconds, long refused, long peakPerSecond,
			long reads, long writes) {

		boolean isComplete() {
			return this.loaded == AGENTS && this.models == MODELS;
		}

	}

}
