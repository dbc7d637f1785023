package io.verbenacleat.core.account;

/**
 * The row {@code topup/<account>/<id>}: one top-up of a budget. Immutable.
 *
 * @param tokens the tokens
 * @param atMs when it was made, in milliseconds since the epoch
 */
public record TopUp(long tokens, long atMs) {

	private static final String KEY_PREFIX = "topup/";

	/**
	 * Returns the table key of a top-up.
	 * @param accountId the account id
	 * @param topUpId the id that the operator chose
	 * @return the key
	 */
	public static String key(String accountId, String topUpId) {
		return KEY_PREFIX + accountId + "/" + topUpId;
	}

}
