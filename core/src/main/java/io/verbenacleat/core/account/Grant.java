package io.verbenacleat.core.account;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * What one holder may spend of an account. The token figures count from the creation of
 * the entry in the account row; the base figures are what the holder had spent and held
 * before that and has already added to the account. Journal and final rows count over the
 * whole life of the holder, so whoever folds this grant subtracts the base figures.
 * Immutable.
 *
 * @param address the gRPC address of the holder, host:port
 * @param grantedTokens tokens granted so far
 * @param spentTokens tokens of receipts that stand in the journal, at most
 * {@code grantedTokens}
 * @param heldTokens tokens of unknown fate on this grant
 * @param sequence raised at each write of the grant by its holder, which finds by it
 * whether a write of unknown outcome took effect
 * @param spentBaseTokens tokens that the holder spent on earlier entries
 * @param heldBaseTokens tokens that the holder held on earlier entries
 */
public record Grant(String address, long grantedTokens, long spentTokens, long heldTokens, long sequence,
		long spentBaseTokens, long heldBaseTokens) {

	/**
	 * Creates a grant.
	 */
	@JsonCreator
	public Grant {
	}

	/**
	 * Creates the first grant of a holder on an account.
	 * @param address the gRPC address of the holder
	 * @param grantedTokens the granted tokens
	 * @param spentTokens the spent tokens
	 * @param heldTokens the held tokens
	 * @param sequence the write sequence
	 */
	public Grant(String address, long grantedTokens, long spentTokens, long heldTokens, long sequence) {
		this(address, grantedTokens, spentTokens, heldTokens, sequence, 0, 0);
	}

	/**
	 * Returns the tokens that are granted and neither spent nor held.
	 * @return the rest, zero or more
	 */
	public long remainingTokens() {
		return this.grantedTokens - this.spentTokens - this.heldTokens;
	}

}
