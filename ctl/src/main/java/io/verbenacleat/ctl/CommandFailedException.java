package io.verbenacleat.ctl;

/**
 * Thrown when a command fails for a reason that no more specific exception covers.
 */
public final class CommandFailedException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line for the operator
	 */
	public CommandFailedException(String message) {
		super(message);
	}

}
