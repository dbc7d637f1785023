package io.verbenacleat.core.account;

/**
 * Thrown if an operation on an account or a caller is rejected. The operation has changed
 * nothing.
 */
public abstract sealed class AccountException extends Exception
		permits UnknownAccountException, AccountExistsException, TopUpMismatchException, SettlementMismatchException,
		InvalidTokensException, InvalidNameException, UnknownCallerException, CallerExistsException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line that states what was found and what is allowed
	 */
	protected AccountException(String message) {
		super(message);
	}

}
