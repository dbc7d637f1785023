package io.verbenacleat.agent.command;

/**
 * The outcome of sending a command to an engine.
 */
public enum CommandOutcome {

	/** The engine accepted the command. */
	ACCEPTED,

	/** The engine has seen a higher fencing token, so a newer agent exists. */
	FENCED,

	/** The engine rejected the command for another reason. */
	REFUSED,

	/** No connection was established, so nothing was sent. */
	NOT_SENT,

	/** No response arrived; the engine may execute the command now or later. */
	UNKNOWN

}
