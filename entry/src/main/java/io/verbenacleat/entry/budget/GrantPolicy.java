package io.verbenacleat.entry.budget;

/**
 * Decides the size of grants. Implementations are immutable. No decision can overspend:
 * the ledger limits it to what is ungranted and what is free.
 */
public interface GrantPolicy {

	/**
	 * Returns how many tokens to add to a grant that is short.
	 * @param demand the state of the account
	 * @return the tokens, from the shortfall to the ungranted tokens
	 */
	long extraTokens(GrantDemand demand);

	/**
	 * Returns how many tokens to give back.
	 * @param demand the state of the account
	 * @return the tokens, zero to the free tokens
	 */
	long returnedTokens(GrantDemand demand);

}
