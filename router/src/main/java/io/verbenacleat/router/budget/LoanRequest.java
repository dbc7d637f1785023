package io.verbenacleat.router.budget;

/**
 * A request of one router to borrow tokens of a workspace from another. Immutable.
 *
 * @param waitingTokens the tokens that its waiting requests need, zero or more
 * @param wantedTokens the maximum that it accepts, at least {@code waitingTokens}
 * @param demandPerS its demand in tokens per second
 */
public record LoanRequest(long waitingTokens, long wantedTokens, double demandPerS) {

	/**
	 * Returns the request to each of several lenders that are asked at the same time.
	 * Tokens for waiting requests are asked for in full from each, since any lender may
	 * have none; the rest is divided.
	 * @param lenders the number of lenders, 1 or more
	 * @return the request to one lender
	 */
	public LoanRequest dividedAmong(int lenders) {
		return new LoanRequest(this.waitingTokens,
				this.waitingTokens + (this.wantedTokens - this.waitingTokens) / lenders, this.demandPerS);
	}

}
