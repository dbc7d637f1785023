package io.verbenacleat.core.account;

/**
 * Thrown if a top-up id was used before with another amount.
 */
public final class TopUpMismatchException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line that states what was found and what is allowed
	 */
	public TopUpMismatchException(String message) {
		super(message);
	}

}
