package io.verbenacleat.router.balance;

/**
 * A load report of a backend server. A value that the server did not report, or that was
 * invalid, is 0. Immutable.
 *
 * @param running the number of running requests of all routers
 * @param waiting the number of requests that wait for a free slot
 * @param usedTokens the number of tokens that the server holds in memory
 * @param capacityTokens the number of tokens that fit into the memory of the server
 * @param nextTokens the number of prompt tokens of the first waiting request
 */
public record LoadReport(int running, int waiting, long usedTokens, long capacityTokens, long nextTokens) {

	/**
	 * Creates a report of which only the number of requests is known.
	 * @param running the number of running requests
	 * @return the report
	 */
	public static LoadReport ofRequests(int running) {
		return new LoadReport(running, 0, 0, 0, 0);
	}

	/**
	 * Returns the number of requests that run or wait at the server.
	 * @return the count
	 */
	public int requests() {
		return this.running + this.waiting;
	}

}
