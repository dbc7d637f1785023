package io.verbenacleat.core.account;

/**
 * The row {@code settlement/<account>/<id>}: one settlement of held tokens by an
 * operator. Immutable.
 *
 * @param heldTokens the held tokens of the account before the settlement
 * @param spentTokens how many of them were spent
 * @param atMs when they were settled, in milliseconds since the epoch
 */
public record Settlement(long heldTokens, long spentTokens, long atMs) {

	private static final String KEY_PREFIX = "settlement/";

	/**
	 * Returns the table key of a settlement.
	 * @param accountId the account id
	 * @param settlementId the id that the operator chose for the settlement
	 * @return the key
	 */
	public static String key(String accountId, String settlementId) {
		return KEY_PREFIX + accountId + "/" + settlementId;
	}

}
