package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.platform.WeightsOutcome;

/**
 * Decides when an agent requests permits from the weight store, whose rate limit all
 * agents share. Called on the control thread only; futures may complete on any thread.
 */
public interface PermitPolicy {

	/**
	 * Requests the permit to load a model or adapter.
	 * @param name the model or adapter
	 * @return a future with the response of the store, or with {@code RateLimited} when
	 * the policy does not ask the store yet; fails when there is no response
	 */
	CompletableFuture<WeightsOutcome> requestPermit(String name);

	/**
	 * Returns the delay before the next request after a refusal.
	 * @param name the model or adapter
	 * @param retryAfterMs the Retry-After of the refusal, in milliseconds
	 * @return the delay
	 */
	Duration retryDelay(String name, long retryAfterMs);

}
