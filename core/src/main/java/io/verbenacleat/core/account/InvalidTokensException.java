package io.verbenacleat.core.account;

/**
 * Thrown if a number of tokens is outside the allowed range.
 */
public final class InvalidTokensException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line that states what was found and what is allowed
	 */
	public InvalidTokensException(String message) {
		super(message);
	}

}
