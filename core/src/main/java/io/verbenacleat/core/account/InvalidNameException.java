package io.verbenacleat.core.account;

/**
 * An account id, caller id, workspace or operation id of a wrong form.
 */
public final class InvalidNameException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line: what was found and what is allowed
	 */
	public InvalidNameException(String message) {
		super(message);
	}

}
