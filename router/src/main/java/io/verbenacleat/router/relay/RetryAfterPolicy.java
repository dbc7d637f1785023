package io.verbenacleat.router.relay;

/**
 * Computes the Retry-After delay for temporary refusals: the time after which the reason
 * has probably ended, plus jitter so that refused callers don't retry at the same moment.
 * Stateless.
 */
final class RetryAfterPolicy {

	/** A starting router has its configuration and tokens within this time. */
	static final long STARTUP_DELAY_MS = 800;

	/** Unspent parts of an allowance are returned to the shared row within a second. */
	static final long TOKENS_DELAY_MS = 700;

	/** A fully loaded server completes some requests within this time. */
	static final long SERVERS_DELAY_MS = 250;

	/**
	 * An operator takes a zone back after seconds at the earliest, and all routers know
	 * within five.
	 */
	static final long EVACUATION_DELAY_MS = 2_000;

	/** Another router accepts the caller's next connection. */
	static final long OTHER_ROUTER_DELAY_MS = 50;

	/** Minimum jitter of retries. */
	static final long MIN_SPREAD_MS = 250;

	/** An estimated delay uses at most this share of the caller's remaining time. */
	private static final double MAX_SHARE_OF_REMAINING_TIME = 1 / 3.0;

	private RetryAfterPolicy() {
	}

	/**
	 * Computes the delay after which the caller should retry.
	 * @param refusal the reason, a temporary one
	 * @param knownDelayMs the time after which the reason ends, in milliseconds, 0 if
	 * unknown
	 * @param remainingMs the time until the caller's deadline, in milliseconds
	 * @param random a random number from 0 inclusive to 1 exclusive
	 * @return the delay in milliseconds
	 */
	static long retryAfterMs(Refusal refusal, long knownDelayMs, long remainingMs, double random) {
		if (knownDelayMs > 0) {
			return knownDelayMs + (long) (MIN_SPREAD_MS * random);
		}
		long expectedDelayMs = expectedDelayMs(refusal);
		long spreadMs = Math.max(MIN_SPREAD_MS, expectedDelayMs / 2);
		long maxDelayMs = (long) (Math.max(0, remainingMs) * MAX_SHARE_OF_REMAINING_TIME);
		// With little time left, the jitter starts before the expected delay.
		long minDelayMs = Math.min(expectedDelayMs, Math.max(0, maxDelayMs - spreadMs));
		return minDelayMs + (long) (Math.min(spreadMs, maxDelayMs) * random);
	}

	private static long expectedDelayMs(Refusal refusal) {
		return switch (refusal) {
			case NOT_CONFIGURED -> STARTUP_DELAY_MS;
			case PREPAID_UNAVAILABLE, STREAM_NOT_FOUND -> TOKENS_DELAY_MS;
			case NO_SERVER, SERVERS_LIMITED, SERVERS_WARMING_UP, OVERLOADED -> SERVERS_DELAY_MS;
			case ZONES_EVACUATED -> EVACUATION_DELAY_MS;
			default -> OTHER_ROUTER_DELAY_MS;
		};
	}

}
