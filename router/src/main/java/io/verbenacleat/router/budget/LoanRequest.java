package io.verbenacleat.router.budget;

/**
 * What a router that cannot reach the store asks of another one for a workspace.
 * Immutable.
 *
 * @param waitingTokens the tokens that its waiting requests need, zero or more
 * @param wantedTokens the most that it takes, at least the waiting ones
 * @param demandPerS the tokens that its requests ask for in a second
 */
public record LoanRequest(long waitingTokens, long wantedTokens, double demandPerS) {

	/**
	 * Returns the wish to one of several routers that are asked at the same time. Each is
	 * asked for all waiting requests, as any of them may have nothing.
	 * @param lenders the count of routers that are asked, 1 or more
	 * @return the wish
	 */
	public LoanRequest dividedAmong(int lenders) {
		return new LoanRequest(this.waitingTokens, this.waitingTokens + (this.wantedTokens - this.waitingTokens) / lenders,
				this.demandPerS);
	}

}
