package io.verbenacleat.agent.drain;

/**
 * The reason why an agent refuses new orders.
 */
public enum DrainReason {

	/** The process is stopping. */
	SIGNAL,

	/** An operator drains the backend server. */
	OPERATOR,

	/** The platform is about to remove the host. */
	HOST_LEAVING

}
