package io.verbenacleat.router.budget;

/**
 * Computes how many tokens a router should hold. Stateless.
 */
final class GrantSizing {

	/**
	 * Tokens that a router holds, in seconds of its demand. They cover a store outage of
	 * about 9 s while demand grows.
	 */
	static final double TARGET_S = 12;

	/** All routers together hold at most this fraction of the unspent tokens. */
	private static final double MAX_HELD_FRACTION = 0.8;

	/** Minimum target of a router, as a fraction of the unspent tokens. */
	static final double IDLE_FRACTION = 0.02;

	/**
	 * The minimum targets of all routers together are at most this fraction of the
	 * unspent tokens.
	 */
	private static final double MAX_IDLE_FRACTION = 0.2;

	/**
	 * All routers together keep at most this fraction of the unspent tokens as
	 * remainders.
	 */
	private static final double MAX_REMAINDERS_FRACTION = 0.02;

	private GrantSizing() {
	}

	/**
	 * Returns the tokens that a router should hold unspent.
	 * @param pool the tokens of the allowance that no router holds, negative after the
	 * allowance was reduced
	 * @param held the unspent tokens of the router
	 * @param heldByOthers the unspent tokens of the other routers
	 * @param waiting the tokens that its waiting requests need
	 * @param demandPerS its demand in tokens per second
	 * @param othersDemandPerS the demand of the other routers in tokens per second
	 * @param requestTokens the mean size of its requests; a smaller target becomes 0,
	 * since it would not serve a request here and would be missing elsewhere
	 * @param routers the number of routers that share the allowance, 1 or more
	 * @return the tokens, at most {@code pool + held}
	 */
	static long targetTokens(long pool, long held, long heldByOthers, long waiting, double demandPerS,
			double othersDemandPerS, double requestTokens, int routers) {
		long left = Math.max(0, pool + held);
		double unspent = left + Math.max(0, heldByOthers);
		double allDemandPerS = demandPerS + othersDemandPerS;
		double share = (allDemandPerS > 0) ? demandPerS / allDemandPerS : 1;
		double wanted = Math.min(demandPerS * TARGET_S, unspent * MAX_HELD_FRACTION * share);
		double target = Math.max(wanted, unspent * Math.min(IDLE_FRACTION, MAX_IDLE_FRACTION / routers));
		return Math.min(left, Math.max(waiting, (target >= requestTokens) ? (long) target : 0));
	}

	/**
	 * Returns the tokens that a router may keep above its target.
	 * @param unspent the tokens of the allowance that no router has spent
	 * @param routers the number of routers that share the allowance, 1 or more
	 * @return the tokens
	 */
	static long maxRemainderTokens(long unspent, int routers) {
		return (long) (unspent * MAX_REMAINDERS_FRACTION / routers);
	}

}
