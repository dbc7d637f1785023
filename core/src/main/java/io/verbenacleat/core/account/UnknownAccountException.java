package io.verbenacleat.core.account;

/**
 * An account id that no account has.
 */
public final class UnknownAccountException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line: what was found and what is allowed
	 */
	public UnknownAccountException(String message) {
		super(message);
	}

}
