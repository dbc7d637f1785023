package io.verbenacleat.bench.weights;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.agent.command.PermitPolicy;
import io.verbenacleat.core.platform.WeightStore;
import io.verbenacleat.core.platform.WeightsOutcome;

/**
 * The baseline: an agent retries exactly at the end of the Retry-After. Not safe for use
 * by several threads.
 */
final class NoJitterPolicy implements PermitPolicy {

	private final WeightStore weights;

	NoJitterPolicy(WeightStore weights) {
		this.weights = weights;
	}

	@Override
	public CompletableFuture<WeightsOutcome> requestPermit(String name) {
		return this.weights.fetch(name);
	}

	@Override
	public Duration retryDelay(String name, long retryAfterMs) {
		return Duration.ofMillis(retryAfterMs);
	}

}
