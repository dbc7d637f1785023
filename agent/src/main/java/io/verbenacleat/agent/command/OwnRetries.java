package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.platform.WeightStore;
import io.verbenacleat.core.platform.WeightsOutcome;

/**
 * Each agent asks on its own, and after a refusal again after the Retry-After plus jitter
 * of up to the same time, so that agents that were refused together do not return
 * together. Control thread only.
 */
public final class OwnRetries implements PermitPolicy {

	private final WeightStore weights;

	private final SplittableRandom random;

	/**
	 * Creates a policy.
	 * @param weights the weight store
	 * @param random the random numbers of the jitter
	 */
	public OwnRetries(WeightStore weights, SplittableRandom random) {
		this.weights = weights;
		this.random = random;
	}

	@Override
	public CompletableFuture<WeightsOutcome> fetch(String name) {
		return this.weights.fetch(name);
	}

	@Override
	public Duration retryDelay(String name, long retryAfterMs) {
		return Duration.ofMillis(retryAfterMs + this.random.nextLong(Math.max(1, retryAfterMs)));
	}

}
