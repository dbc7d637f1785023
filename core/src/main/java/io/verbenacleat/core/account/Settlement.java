package io.verbenacleat.core.account;

/**
 * The row {@code settlement/<account>/<id>}: held tokens that an operator settled.
 * Immutable.
 *
 * @param heldTokens the held tokens before the settlement
 * @param spentTokens how many of them were spent
 * @param atMs when it was made, in milliseconds since the epoch
 */
public record Settlement(long heldTokens, long spentTokens, long atMs) {

	private static final String KEY_PREFIX = "settlement/";

	/**
	 * Returns the table key of a settlement.
	 * @param accountId the account id
	 * @param settlementId the id that the operator chose
	 * @return the key
	 */
	public static String key(String accountId, String settlementId) {
		return KEY_PREFIX + accountId + "/" + settlementId;
	}

}
