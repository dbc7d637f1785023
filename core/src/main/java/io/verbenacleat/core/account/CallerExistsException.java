package io.verbenacleat.core.account;

/**
 * A caller id that is taken, also by a revoked caller.
 */
public final class CallerExistsException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line: what was found and what is allowed
	 */
	public CallerExistsException(String message) {
		super(message);
	}

}
