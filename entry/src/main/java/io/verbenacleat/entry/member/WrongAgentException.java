package io.verbenacleat.entry.member;

/**
 * Thrown when another incarnation responds at the address of the called agent.
 */
public final class WrongAgentException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param incarnation the incarnation that was called
	 */
	public WrongAgentException(String incarnation) {
		super("Another incarnation responded at the address of agent " + incarnation);
	}

}
