package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.platform.WeightStore;
import io.verbenacleat.core.platform.WeightsOutcome;

/**
 * Each agent asks on its own, and after a refusal again after the Retry-After plus jitter
 * of up to the same time within a bound, so that agents that were refused together do not
 * return together. Control thread only.
 */
public final class JitteredRetryPolicy implements PermitPolicy {

	/**
	 * A jitter as long as the Retry-After leaves permits of the next minute unused until
	 * late in it; docs/results/weights.md has the comparison.
	 */
	public static final Duration MAX_JITTER = Duration.ofSeconds(10);

	private final WeightStore weightStore;

	private final SplittableRandom random;

	private final long maxJitterMs;

	/**
	 * Creates a policy.
	 * @param weightStore the weight store
	 * @param random the random numbers of the jitter
	 * @param maxJitter the longest jitter, more than zero
	 */
	public JitteredRetryPolicy(WeightStore weightStore, SplittableRandom random, Duration maxJitter) {
		this.weightStore = weightStore;
		this.random = random;
		this.maxJitterMs = maxJitter.toMillis();
	}

	@Override
	public CompletableFuture<WeightsOutcome> requestPermit(String name) {
		return this.weightStore.fetch(name);
	}

	@Override
	public Duration retryDelay(String name, long retryAfterMs) {
		return Duration
			.ofMillis(retryAfterMs + this.random.nextLong(Math.max(1, Math.min(retryAfterMs, this.maxJitterMs))));
	}

}
