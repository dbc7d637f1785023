package io.verbenacleat.router.budget;

/**
 * Decides how many tokens a router holds. Stateless.
 */
final class GrantSizing {

	/** Bridges a cut of the store of about nine seconds, with demand that grows. */
	static final double TARGET_S = 12;

	/** All routers together hold at most this part of what is left. */
	private static final double MAX_HELD_FRACTION = 0.8;

	/** A router without known demand holds this part of what is left. */
	static final double IDLE_FRACTION = 0.02;

	/** All routers without known demand hold at most this part of what is left. */
	private static final double MAX_IDLE_FRACTION = 0.2;

	/** All routers together keep at most this part of what is left in remainders. */
	private static final double MAX_REMAINDERS_FRACTION = 0.02;

	private GrantSizing() {
	}

	/**
	 * Returns the tokens that a router should hold unspent.
	 * @param pool the tokens of the allowance that no router holds, below zero after a
	 * cut of the allowance
	 * @param held the tokens that the router holds unspent
	 * @param heldByOthers the tokens that other routers hold unspent
	 * @param waiting the tokens that its waiting requests need
	 * @param demandPerS the tokens that its requests ask for in a second
	 * @param othersDemandPerS the same of the other routers
	 * @param requestTokens what one of its requests asks for; less is not held, since it
	 * would serve none here and be missing elsewhere
	 * @param routers the routers that share the allowance, 1 or more
	 * @return the tokens, at most those of the pool and the available ones
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
	 * Returns what a router may keep although its target is lower.
	 * @param unspent the tokens of the allowance that were not spent
	 * @param routers the routers that share the allowance, 1 or more
	 * @return the tokens
	 */
	static long maxRemainderTokens(long unspent, int routers) {
		return (long) (unspent * MAX_REMAINDERS_FRACTION / routers);
	}

}
