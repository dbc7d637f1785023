package io.verbenacleat.router.relay;

import java.util.Locale;

/**
 * The kinds of bytes from a backend server that are not the response to the request in
 * progress on their connection.
 */
enum ResponseFault {

	/** A response that names another request. */
	OTHER_REQUEST,

	/** A response that names no request where it has to. */
	NO_REQUEST_ID,

	/** Bytes while no request is in progress, or after the end of a response. */
	SURPLUS,

	/** A head that is not valid HTTP. */
	INVALID_HEAD,

	/** A head that contains the status line of another response. */
	SPLICED_HEAD,

	/** A body that contains the head of another response to the same request. */
	SPLICED_BODY,

	/** A head that names its request more than once. */
	REPEATED_REQUEST_ID,

	/** A body that is not valid HTTP. */
	INVALID_BODY,

	/** More interim responses than a server sends. */
	TOO_MANY_INTERIM,

	/** A response to another request that is too long to be skipped. */
	TOO_LONG_TO_SKIP;

	/**
	 * Returns the name for logs and metrics.
	 * @return the name in lower case
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
