package io.verbenacleat.agent.command;

/**
 * The reason why the reconciler retries a step.
 */
public enum RetryReason {

	/** The state of the engine could not be read. */
	STATE_UNREADABLE,

	/** The engine rejected a command. */
	COMMAND_REFUSED,

	/** A command could not be sent. */
	COMMAND_NOT_SENT,

	/** No response to a command arrived. */
	ANSWER_LOST,

	/** A command was accepted, but a later read shows the difference again. */
	STATE_REVERTED,

	/** The weight store refused a permit because of its rate limit. */
	WEIGHTS_RATE_LIMITED,

	/** The weight store has no weights for the model or adapter. */
	WEIGHTS_ABSENT,

	/** The weight store did not respond. */
	WEIGHTS_UNREACHABLE

}
