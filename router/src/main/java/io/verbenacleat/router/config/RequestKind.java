package io.verbenacleat.router.config;

/**
 * What may be repeated of a request.
 */
public enum RequestKind {

	/** May run more than once. */
	IDEMPOTENT,

	/** Runs at most once. */
	NOT_REPEATABLE,

	/** Runs at most once and is answered by a stream of events. */
	STREAM,

	/** A stream that another backend server can resume after the last event. */
	RESUMABLE_STREAM;

	/**
	 * Returns whether a request may be sent again although it may have run.
	 * @return {@code true} when it may
	 */
	public boolean isRetryable() {
		return this == IDEMPOTENT || this == RESUMABLE_STREAM;
	}

	/**
	 * Returns whether the answer is a stream of events.
	 * @return {@code true} for streams
	 */
	public boolean isStream() {
		return this == STREAM || this == RESUMABLE_STREAM;
	}

}
