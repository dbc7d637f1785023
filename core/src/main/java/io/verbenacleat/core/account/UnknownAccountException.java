package io.verbenacleat.core.account;

/**
 * Thrown if an account does not exist.
 */
public final class UnknownAccountException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line that states what was found and what is allowed
	 */
	public UnknownAccountException(String message) {
		super(message);
	}

}
