package io.verbenacleat.core.account;

/**
 * Thrown if an account has no caller with the given id.
 */
public final class UnknownCallerException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line that states what was found and what is allowed
	 */
	public UnknownCallerException(String message) {
		super(message);
	}

}
