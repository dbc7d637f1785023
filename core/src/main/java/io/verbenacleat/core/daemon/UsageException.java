package io.verbenacleat.core.daemon;

/**
 * A flag, an environment variable or an argument that is wrong or missing.
 */
public final class UsageException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line: what was found and what is allowed
	 */
	public UsageException(String message) {
		super(message);
	}

}
