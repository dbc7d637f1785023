package io.verbenacleat.core.account;

/**
 * The row {@code topup/<account>/<id>}: one top-up of an account by an operator.
 * Immutable.
 *
 * @param tokens the tokens that were added, 1 or more
 * @param atMs when they were added, in milliseconds since the epoch
 */
public record TopUp(long tokens, long atMs) {

	private static final String KEY_PREFIX = "topup/";

	/**
	 * Returns the table key of a top-up.
	 * @param accountId the account id
	 * @param topUpId the id that the operator chose for the top-up
	 * @return the key
	 */
	public static String key(String accountId, String topUpId) {
		return KEY_PREFIX + accountId + "/" + topUpId;
	}

}
