package io.verbenacleat.core.account;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * The tokens of an account that one holder may spend, an entry of the account row.
 * Immutable.
 * <p>
 * The token figures count from the creation of the entry. The base figures are the tokens
 * that the holder spent and held on earlier entries, which are already part of the
 * settled and held tokens of the account. Journal rows and final rows count over the
 * whole life of the holder, so the base figures are subtracted when a final row replaces
 * the grant, see {@link ClosedGrants}.
 *
 * @param address the gRPC address of the holder, host:port
 * @param grantedTokens the tokens granted so far
 * @param spentTokens the tokens billed by receipts in the journal, at most
 * {@code grantedTokens}
 * @param heldTokens the tokens on this grant that may or may not have been spent
 * @param sequence the number of the write; the holder increments it with each write of
 * the grant and uses it to find out whether a write of unknown outcome took effect
 * @param spentBaseTokens the tokens that the holder spent on earlier entries
 * @param heldBaseTokens the tokens that the holder held on earlier entries
 */
public record Grant(String address, long grantedTokens, long spentTokens, long heldTokens, long sequence,
		long spentBaseTokens, long heldBaseTokens) {

	/**
	 * Creates a grant from all its components.
	 */
	@JsonCreator
	public Grant {
	}

	/**
	 * Creates the first grant of a holder on an account, with base figures of zero.
	 * @param address the gRPC address of the holder, host:port
	 * @param grantedTokens the tokens granted so far
	 * @param spentTokens the tokens billed by receipts in the journal, at most
	 * {@code grantedTokens}
	 * @param heldTokens the tokens that may or may not have been spent
	 * @param sequence the number of the write
	 */
	public Grant(String address, long grantedTokens, long spentTokens, long heldTokens, long sequence) {
		this(address, grantedTokens, spentTokens, heldTokens, sequence, 0, 0);
	}

	/**
	 * Returns the tokens that are granted and neither spent nor held.
	 * @return the tokens, zero or more
	 */
	public long remainingTokens() {
		return this.grantedTokens - this.spentTokens - this.heldTokens;
	}

}
