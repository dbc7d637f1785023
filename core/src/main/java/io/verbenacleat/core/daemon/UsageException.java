package io.verbenacleat.core.daemon;

/**
 * Thrown when a flag, an environment variable or an argument is invalid or missing.
 */
public final class UsageException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line that says what was found and what is allowed
	 */
	public UsageException(String message) {
		super(message);
	}

}
