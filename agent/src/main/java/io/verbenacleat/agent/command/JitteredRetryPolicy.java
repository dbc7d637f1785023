package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.platform.WeightStore;
import io.verbenacleat.core.platform.WeightsOutcome;

/**
 * Requests permits without coordination with other agents. After a refusal, it waits for
 * the Retry-After plus a bounded jitter of up to the same time, so that agents that were
 * refused together do not retry together. Must be used on the control thread.
 */
public final class JitteredRetryPolicy implements PermitPolicy {

	/**
	 * The usual bound of the jitter. A jitter as long as the Retry-After would leave
	 * permits of the next minute unused until late in that minute;
	 * docs/results/weights.md has the comparison.
	 */
	public static final Duration MAX_JITTER = Duration.ofSeconds(10);

	private final WeightStore weightStore;

	private final SplittableRandom random;

	private final long maxJitterMs;

	/**
	 * Creates a policy.
	 * @param weightStore the weight store
	 * @param random the random source of the jitter
	 * @param maxJitter the bound of the jitter, zero for none
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
