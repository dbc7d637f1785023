package io.verbenacleat.router.budget;

/**
 * Decides how many tokens a router holds. Stateless.
 */
final class GrantSizing {

	/** Bridges a cut of the store of about nine seconds. */
	private static final double HOLD_S = 12;

	/**
	 * Routers that are assumed at least; more are counted by their entries in the row.
	 */
	private static final int MIN_ROUTERS = 4;

	/** All routers together hold at most half of what is left, which bounds a loss. */
	private static final double HELD_PART = 0.5;

	/** Held by a router without known demand, as a part of its largest share. */
	private static final double INITIAL_PART = 0.25;

	private GrantSizing() {
	}

	/**
	 * Returns the tokens that a router should hold unspent.
	 * @param pool the tokens of the allowance that no router holds, below zero after a
	 * cut of the allowance
	 * @param available the tokens that the router holds unspent
	 * @param waiting the tokens that its waiting requests need
	 * @param demandPerS the tokens that its requests ask for in a second
	 * @param routers the routers in the row
	 * @return the tokens, at most those of the pool and the available ones
	 */
	static long target(long pool, long available, long waiting, double demandPerS, int routers) {
		long left = Math.max(0, pool + available);
		double share = left * HELD_PART / Math.max(MIN_ROUTERS, routers);
		double wanted = Math.max(demandPerS * HOLD_S, share * INITIAL_PART);
		return Math.min(left, Math.max(waiting, (long) Math.min(wanted, share)));
	}

}
