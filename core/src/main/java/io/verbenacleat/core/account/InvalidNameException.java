package io.verbenacleat.core.account;

/**
 * Thrown if an account id, caller id, workspace, operation id or priority is invalid.
 */
public final class InvalidNameException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line that states what was found and what is allowed
	 */
	public InvalidNameException(String message) {
		super(message);
	}

}
