package io.verbenacleat.core.platform;

/**
 * The answer of the weight store. Immutable.
 */
public sealed interface WeightsOutcome {

	/**
	 * The store has the weights.
	 *
	 * @param weights what the store knows about them
	 */
	record Found(WeightsMetadata weights) implements WeightsOutcome {
	}

	/**
	 * The store has no weights for the model.
	 */
	record Absent() implements WeightsOutcome {
	}

	/**
	 * The store refused because of its rate limit.
	 *
	 * @param retryAfterMs when to ask again, in milliseconds
	 */
	record RateLimited(long retryAfterMs) implements WeightsOutcome {
	}

}
