package io.verbenacleat.router.relay;

/**
 * Decides when a caller that is refused for now should come back: when the reason has
 * probably ended, spread so that not all callers return at the same moment. Stateless.
 */
final class RetryAfterPolicy {

	/** A router that starts has its configuration and tokens within this time. */
	static final long STARTUP_DELAY_MS = 800;

	/** Unspent parts of an allowance are back in the shared row within a second. */
	static final long TOKENS_DELAY_MS = 700;

	/** A server that is full ends some requests in this time. */
	static final long SERVERS_DELAY_MS = 250;

	/** Another router takes the next connection. */
	static final long OTHER_ROUTER_DELAY_MS = 50;

	/** Callers that come back are spread over at least this time. */
	static final long MIN_SPREAD_MS = 250;

	/** Callers wait for up to this part of the time that they have left. */
	private static final double MAX_SHARE_OF_REMAINING_TIME = 1 / 3.0;

	private RetryAfterPolicy() {
	}

	/**
	 * Decides after how long the caller should come back.
	 * @param refusal why it is refused, a temporary reason
	 * @param knownDelayMs the time after which the reason ends, in milliseconds, 0 when it is
	 * not known
	 * @param remainingMs the time that the caller has left, in milliseconds
	 * @param random a number from 0 inclusive to 1 exclusive
	 * @return the time in milliseconds
	 */
	static long retryAfterMs(Refusal refusal, long knownDelayMs, long remainingMs, double random) {
		if (knownDelayMs > 0) {
			return knownDelayMs + (long) (MIN_SPREAD_MS * random);
		}
		long expectedDelayMs = expectedDelayMs(refusal);
		long spreadMs = Math.max(MIN_SPREAD_MS, expectedDelayMs / 2);
		long maxDelayMs = (long) (Math.max(0, remainingMs) * MAX_SHARE_OF_REMAINING_TIME);
		// Spread before the limit, too, when the caller has little time.
		long minDelayMs = Math.min(expectedDelayMs, Math.max(0, maxDelayMs - spreadMs));
		return minDelayMs + (long) (Math.min(spreadMs, maxDelayMs) * random);
	}

	private static long expectedDelayMs(Refusal refusal) {
		return switch (refusal) {
			case NOT_CONFIGURED -> STARTUP_DELAY_MS;
			case PREPAID_UNAVAILABLE -> TOKENS_DELAY_MS;
			case NO_SERVER, OVERLOADED -> SERVERS_DELAY_MS;
			default -> OTHER_ROUTER_DELAY_MS;
		};
	}

}
