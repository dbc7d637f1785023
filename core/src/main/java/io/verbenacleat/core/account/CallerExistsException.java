package io.verbenacleat.core.account;

/**
 * Thrown if the id of a new caller is already in use within the account. The id of a
 * revoked caller stays in use.
 */
public final class CallerExistsException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line that states what was found and what is allowed
	 */
	public CallerExistsException(String message) {
		super(message);
	}

}
