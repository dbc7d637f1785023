package io.verbenacleat.router.relay;

/**
 * Decides which servers a router polls for their load in one round. The larger the fleet,
 * the less often each router polls a server, so that the polls of a server don't grow
 * with the fleet. Stateless.
 */
public final class LoadPollSchedule {

	/** About this many routers poll a server in each round. */
	private static final int POLLS_PER_SERVER_AND_ROUND = 10;

	private LoadPollSchedule() {
	}

	/**
	 * Returns whether a server is polled in a round.
	 * @param serverId the id of the server
	 * @param round the number of the round of this router
	 * @param routerCount the number of routers in the fleet, 0 while unknown
	 * @return {@code true} in one of every {@code routerCount / 10} rounds, rounded up
	 */
	public static boolean isDue(String serverId, long round, int routerCount) {
		int roundsPerPoll = Math.max(1, (routerCount + POLLS_PER_SERVER_AND_ROUND - 1) / POLLS_PER_SERVER_AND_ROUND);
		return Math.floorMod(serverId.hashCode() + round, (long) roundsPerPoll) == 0;
	}

}
