package io.verbenacleat.router.relay;

/**
 * Decides which servers a router asks for their load in one round, so that the questions
 * to a server do not grow with the fleet. Stateless.
 */
final class LoadPollSchedule {

	/** A server answers the question of about this many routers in each round. */
	private static final int POLLS_PER_SERVER_AND_ROUND = 10;

	private LoadPollSchedule() {
	}

	/**
	 * Returns whether a server is asked in a round.
	 * @param serverId the id of the server
	 * @param round the number of the round of this router
	 * @param routerCount the routers of the fleet, 0 while they are not known
	 * @return {@code true} once in a number of rounds that grows with the fleet
	 */
	static boolean isDue(String serverId, long round, int routerCount) {
		int roundsPerPoll = Math.max(1, (routerCount + POLLS_PER_SERVER_AND_ROUND - 1) / POLLS_PER_SERVER_AND_ROUND);
		return Math.floorMod(serverId.hashCode() + round, (long) roundsPerPoll) == 0;
	}

}
