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
import io.verbenacleat.agent.command.FirstCopyClaims;
import io.verbenacleat.agent.command.OwnRetries;
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
		PermitPolicy longJitter = new OwnRetries(this.store, this.random.split(), Duration.ofHours(1));
		PermitPolicy shortJitter = new OwnRetries(this.store, this.random.split(), OwnRetries.MAX_JITTER);
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
		return new FirstCopyClaims("zone", agent, this.table, this.control, fallback, this.random.split());
	}

	private void onLoaded(String model) {
		this.loadedMs.add(elapsedMs());
		this.firstLoadedMs.putIfAbsent(model, elapsedMs());
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
