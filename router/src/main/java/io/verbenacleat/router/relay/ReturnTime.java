package io.verbenacleat.router.relay;

/**
 * Decides when a caller that is refused for now should come back: when the reason has
 * probably ended, spread so that not all callers return at the same moment. Stateless.
 */
final class ReturnTime {

	/** A router that starts has its configuration and tokens within this time. */
	static final long START_MS = 800;

	/** Unspent parts of an allowance are back in the shared row within a second. */
	static final long TOKENS_MS = 700;

	/** A server that is full ends some requests in this time. */
	static final long SERVERS_MS = 250;

	/** Another router takes the next connection. */
	static final long OTHER_ROUTER_MS = 50;

	/** Callers that come back are spread over at least this time. */
	static final long MIN_SPREAD_MS = 250;

	/** Callers wait for up to this part of the time that they have left. */
	private static final double MAX_PART_OF_TIME_LEFT = 1 / 3.0;

	private ReturnTime() {
	}

	/**
	 * Decides after how long the caller should come back.
	 * @param refusal why it is refused, a temporary reason
	 * @param knownMs the time after which the reason ends, in milliseconds, 0 when it is
	 * not known
	 * @param leftMs the time that the caller has left, in milliseconds
	 * @param random a number from 0 inclusive to 1 exclusive
	 * @return the time in milliseconds
	 */
	static long afterMs(Refusal refusal, long knownMs, long leftMs, double random) {
		if (knownMs > 0) {
			return knownMs + (long) (MIN_SPREAD_MS * random);
		}
		long expectedMs = expectedMs(refusal);
		long spreadMs = Math.max(MIN_SPREAD_MS, expectedMs / 2);
		long mostMs = (long) (Math.max(0, leftMs) * MAX_PART_OF_TIME_LEFT);
		// Spread before the limit, too, when the caller has little time.
		long fromMs = Math.min(expectedMs, Math.max(0, mostMs - spreadMs));
		return fromMs + (long) (Math.min(spreadMs, mostMs) * random);
	}

	private static long expectedMs(Refusal refusal) {
		return switch (refusal) {
			case NOT_CONFIGURED -> START_MS;
			case PREPAID_UNAVAILABLE -> TOKENS_MS;
			case NO_SERVER, OVERLOADED -> SERVERS_MS;
			default -> OTHER_ROUTER_MS;
		};
	}

}
