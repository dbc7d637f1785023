package io.verbenacleat.agent.drain;

/**
 * Why an agent refuses new orders.
 */
public enum DrainReason {

	/** The process was told to stop. */
	SIGNAL,

	/** An operator drains the backend server. */
	OPERATOR,

	/** The platform is about to take the host away. */
	HOST_LEAVING

}
