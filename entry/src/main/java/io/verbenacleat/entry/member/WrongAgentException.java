package io.verbenacleat.entry.member;

/**
 * Another agent run answered at the address of the one that was asked.
 */
public final class WrongAgentException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param incarnation the agent that was asked
	 */
	public WrongAgentException(String incarnation) {
		super("Another run answered in place of agent " + incarnation);
	}

}
