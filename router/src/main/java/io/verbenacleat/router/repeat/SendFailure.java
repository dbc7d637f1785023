package io.verbenacleat.router.repeat;

/**
 * How a send to a backend server ended without a success.
 */
public enum SendFailure {

	/** No byte reached the server. */
	NOT_SENT,

	/** The server stated that it did not run the request. */
	NOT_RUN,

	/** The connection failed or fell silent; the server may have run the request. */
	UNKNOWN,

	/** The server ran the request and answered with a failure. */
	FAILED

}
