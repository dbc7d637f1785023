package io.verbenacleat.core.account;

/**
 * A caller id that no caller of the account has.
 */
public final class UnknownCallerException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line: what was found and what is allowed
	 */
	public UnknownCallerException(String message) {
		super(message);
	}

}
