package io.verbenacleat.core.account;

/**
 * A settlement id that was used with another amount.
 */
public final class SettlementMismatchException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line: what was found and what is allowed
	 */
	public SettlementMismatchException(String message) {
		super(message);
	}

}
