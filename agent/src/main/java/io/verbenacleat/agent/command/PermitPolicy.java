package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.platform.WeightsOutcome;

/**
 * How one agent shares the rate of the weight store with the others. Called on the
 * control thread only; futures may complete on any thread.
 */
public interface PermitPolicy {

	/**
	 * Asks for the permit to load a model or adapter.
	 * @param name the model or adapter
	 * @return the answer of the store, or {@code RateLimited} when it is not to be asked
	 * yet; fails when there is no answer
	 */
	CompletableFuture<WeightsOutcome> requestPermit(String name);

	/**
	 * Returns when to ask again after a refusal.
	 * @param name the model or adapter
	 * @param retryAfterMs the time that came with the refusal, in milliseconds
	 * @return the delay
	 */
	Duration retryDelay(String name, long retryAfterMs);

}
