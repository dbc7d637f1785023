package io.verbenacleat.core.account;

/**
 * Thrown if a settlement id was used before with another amount.
 */
public final class SettlementMismatchException extends AccountException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line that states what was found and what is allowed
	 */
	public SettlementMismatchException(String message) {
		super(message);
	}

}
