package io.verbenacleat.agent.command;

/**
 * What became of a command.
 */
public enum CommandOutcome {

	/** The engine accepted it. */
	ACCEPTED,

	/** The engine has seen a higher fencing number, so a newer agent exists. */
	FENCED,

	/** The engine answered that it did not accept the command. */
	REFUSED,

	/** There was no connection, so nothing was sent. */
	NOT_SENT,

	/** There was no answer; the engine may execute the command now or later. */
	UNKNOWN

}
