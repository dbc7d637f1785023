package io.verbenacleat.router.repeat;

/**
 * Classifies failed sends to a backend server by whether the request may have run.
 */
public enum SendFailure {

	/** No data reached the server. */
	NOT_SENT,

	/** The server reported that it did not run the request. */
	NOT_RUN,

	/** The connection failed or stalled, and the server may have run the request. */
	UNKNOWN,

	/**
	 * The server crashed, and the request is of a kind that was never answered before.
	 */
	CRASHED,

	/** The server ran the request and responded with an error. */
	FAILED

}
