package io.verbenacleat.ctl;

/**
 * A command that could not be carried out for a reason of its own.
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
