package io.verbenacleat.itest;

/**
 * One request of a caller and how it ended. Immutable.
 *
 * @param id the caller's own id, part of the content
 * @param kind chat or booking
 * @param entry the entry that was asked
 * @param requestId the request id in the answer, empty without one
 * @param idempotencyKey the key of a booking, empty for a chat request
 * @param outcome how it ended for the caller
 * @param detail the code of a refusal, the failure or the answer
 * @param boundTokens an upper bound on the tokens that the request may reserve
 * @param startedAtMs start, in milliseconds since the epoch
 * @param endedAtMs end, in milliseconds since the epoch
 */
record CallRecord(String id, Kind kind, String entry, String requestId, String idempotencyKey, Outcome outcome,
		String detail, long boundTokens, long startedAtMs, long endedAtMs) {

	/**
	 * What was asked for.
	 */
	enum Kind {

		/** A streamed chat completion. */
		CHAT,

		/** A booking with an idempotency key. */
		BOOKING

	}

	/**
	 * How a request ended for its caller.
	 */
	enum Outcome {

		/** The whole answer came and is the caller's own. */
		WHOLE,

		/** A whole answer came that is not the caller's own. */
		FOREIGN,

		/** The answer says that the request was not run. */
		NOT_RUN,

		/** The answer says that the outcome is unknown. */
		UNKNOWN,

		/** The answer began and broke off. */
		BROKEN_OFF,

		/** There was no answer. */
		NO_ANSWER

	}

}
