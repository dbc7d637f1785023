package io.verbenacleat.router.config;

/**
 * Classifies requests by the kind of response and by whether they may be retried.
 */
public enum RequestKind {

	/** The request may run more than once. */
	IDEMPOTENT,

	/** The request runs at most once. */
	NOT_REPEATABLE,

	/** The request runs at most once, and the response is a stream of events. */
	STREAM,

	/**
	 * The response is a stream of events that another backend server can resume after the
	 * last event.
	 */
	RESUMABLE_STREAM;

	/**
	 * Returns whether a request may be sent again although a server may have run it.
	 * @return {@code true} if a retry is allowed
	 */
	public boolean isRetryable() {
		return this == IDEMPOTENT || this == RESUMABLE_STREAM;
	}

	/**
	 * Returns whether the response is a stream of events.
	 * @return {@code true} for streams
	 */
	public boolean isStream() {
		return this == STREAM || this == RESUMABLE_STREAM;
	}

}
