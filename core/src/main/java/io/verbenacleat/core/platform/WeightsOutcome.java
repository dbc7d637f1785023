package io.verbenacleat.core.platform;

/**
 * The outcome of a fetch from the weight store. Immutable.
 */
public sealed interface WeightsOutcome {

	/**
	 * The store has the weights.
	 *
	 * @param weights the metadata of the weights
	 */
	record Found(WeightsMetadata weights) implements WeightsOutcome {
	}

	/**
	 * The store has no weights for the model.
	 */
	record Absent() implements WeightsOutcome {
	}

	/**
	 * The store rejected the request because of its rate limit.
	 *
	 * @param retryAfterMs the time to wait before a retry, in milliseconds
	 */
	record RateLimited(long retryAfterMs) implements WeightsOutcome {
	}

}
