package io.verbenacleat.core.account;

/**
 * An operation on an account or a caller that is not allowed. Nothing was changed.
 */
public abstract sealed class AccountException extends Exception
		permits UnknownAccountException, AccountExistsException, TopUpMismatchException, SettlementMismatchException,
		InvalidTokensException, InvalidNameException, UnknownCallerException, CallerExistsException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line: what was found and what is allowed
	 */
	protected AccountException(String message) {
		super(message);
	}

}
