package io.verbenacleat.agent;

/**
 * Thrown when an agent cannot start.
 */
public final class AgentStartException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed, in one line
	 * @param cause the cause
	 */
	public AgentStartException(String message, Throwable cause) {
		super(message, cause);
	}

}
