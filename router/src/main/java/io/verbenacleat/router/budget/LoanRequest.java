package io.verbenacleat.router.budget;

/**
 * A request of one router to borrow tokens of a workspace from another. Immutable.
 *
 * @param waitingTokens the tokens that its waiting requests need, zero or more
 * @param wantedTokens the maximum that it accepts, at least {@code waitingTokens}
 * @param demandPerS its demand in tokens per second
 * @param heldTokens its unspent tokens, 0 in requests of older versions
 */
public record LoanRequest(long waitingTokens, long wantedTokens, double demandPerS, long heldTokens) {

	/**
	 * Creates a request of a router without unspent tokens.
	 * @param waitingTokens the tokens that its waiting requests need, zero or more
	 * @param wantedTokens the maximum that it accepts, at least {@code waitingTokens}
	 * @param demandPerS its demand in tokens per second
	 */
	public LoanRequest(long waitingTokens, long wantedTokens, double demandPerS) {
		this(waitingTokens, wantedTokens, demandPerS, 0);
	}

	/**
	 * Returns the request to each of several lenders that are asked at the same time.
	 * Tokens for waiting requests are asked for in full from each, since any lender may
	 * have none; the rest is divided.
	 * @param lenders the number of lenders, 1 or more
	 * @return the request to one lender
	 */
	public LoanRequest dividedAmong(int lenders) {
		return new LoanRequest(this.waitingTokens,
				this.waitingTokens + (this.wantedTokens - this.waitingTokens) / lenders, this.demandPerS,
				this.heldTokens);
	}

	/**
	 * Returns the request with a lower maximum, but at least the tokens of the waiting
	 * requests.
	 * @param maxTokens the new maximum
	 * @return the request
	 */
	LoanRequest limitedTo(long maxTokens) {
		return new LoanRequest(this.waitingTokens, Math.max(this.waitingTokens, Math.min(this.wantedTokens, maxTokens)),
				this.demandPerS, this.heldTokens);
	}

}
