package io.verbenacleat.core.account;

/**
 * A top-up id that was used with another amount.
 */
public final class TopUpMismatchException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line: what was found and what is allowed
	 */
	public TopUpMismatchException(String message) {
		super(message);
	}

}
