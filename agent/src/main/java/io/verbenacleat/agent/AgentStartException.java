package io.verbenacleat.agent;

/**
 * An agent that could not start.
 */
public final class AgentStartException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message one line: what failed
	 * @param cause the cause
	 */
	public AgentStartException(String message, Throwable cause) {
		super(message, cause);
	}

}
