package io.verbenacleat.entry.budget;

/**
 * Decides the size of grants. Implementations are immutable. No policy can cause
 * overspending: the ledger limits its results to the ungranted and the free tokens.
 */
public interface GrantPolicy {

	/**
	 * Returns how many tokens to add to a grant that does not cover the waiting requests.
	 * @param demand the demand of the account
	 * @return the tokens, at least the shortfall and at most the ungranted tokens
	 */
	long extraTokens(GrantDemand demand);

	/**
	 * Returns how many tokens of a grant to return to the account.
	 * @param demand the demand of the account
	 * @return the tokens, at least zero and at most the free tokens
	 */
	long returnedTokens(GrantDemand demand);

}
