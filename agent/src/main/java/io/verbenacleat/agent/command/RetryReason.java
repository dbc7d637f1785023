package io.verbenacleat.agent.command;

/**
 * Why the reconciler has to try something again.
 */
public enum RetryReason {

	/** The state of the engine could not be read. */
	STATE_UNREADABLE,

	/** The engine did not accept a command. */
	COMMAND_REFUSED,

	/** A command could not be sent. */
	COMMAND_NOT_SENT,

	/** There was no answer to a command. */
	ANSWER_LOST,

	/** A command was accepted, and a later read shows the difference again. */
	STATE_REVERTED,

	/** The weight store refused because of its rate limit. */
	WEIGHTS_RATE_LIMITED,

	/** The weight store has no weights for the model or adapter. */
	WEIGHTS_ABSENT,

	/** The weight store did not answer. */
	WEIGHTS_UNREACHABLE

}
