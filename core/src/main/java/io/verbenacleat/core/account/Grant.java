package io.verbenacleat.core.account;

/**
 * What one holder may spend of an account. All token figures are cumulative over the life
 * of the holder. Immutable.
 *
 * @param address the gRPC address of the holder, host:port
 * @param grantedTokens tokens granted so far
 * @param spentTokens tokens of receipts that stand in the journal, at most
 * {@code grantedTokens}
 * @param heldTokens tokens of unknown fate on this grant
 * @param sequence raised at each write of the grant by its holder, which finds by it
 * whether a write of unknown outcome took effect
 */
public record Grant(String address, long grantedTokens, long spentTokens, long heldTokens, long sequence) {

	/**
	 * Returns the tokens that are granted and neither spent nor held.
	 * @return the rest, zero or more
	 */
	public long restTokens() {
		return this.grantedTokens - this.spentTokens - this.heldTokens;
	}

}
