package io.verbenacleat.core.account;

/**
 * Thrown if the id of a new account is already in use.
 */
public final class AccountExistsException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line that states what was found and what is allowed
	 */
	public AccountExistsException(String message) {
		super(message);
	}

}
