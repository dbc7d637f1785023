package io.verbenacleat.core.account;

/**
 * An account id that is taken.
 */
public final class AccountExistsException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line: what was found and what is allowed
	 */
	public AccountExistsException(String message) {
		super(message);
	}

}
