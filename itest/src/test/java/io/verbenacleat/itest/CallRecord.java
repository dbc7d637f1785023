package io.verbenacleat.itest;

/**
 * A request that a caller sent and its result as the caller saw it. Immutable.
 *
 * @param id the id that the caller chose, part of the request content
 * @param kind the kind of request
 * @param entry the name of the entry that received the request
 * @param requestId the request id in the response, empty when there was none
 * @param idempotencyKey the idempotency key of a booking, empty for a chat request
 * @param outcome the result for the caller
 * @param detail the content of the answer, or the code and detail of a refusal, or the
 * exception
 * @param boundTokens an upper bound of the tokens that the request reserves
 * @param startedAtMs when the request was sent, in milliseconds since the epoch
 * @param endedAtMs when the request ended, in milliseconds since the epoch
 */
record CallRecord(String id, Kind kind, String entry, String requestId, String idempotencyKey, Outcome outcome,
		String detail, long boundTokens, long startedAtMs, long endedAtMs) {

	/**
	 * The kind of a request.
	 */
	enum Kind {

		/** A streamed chat completion. */
		CHAT,

		/** A booking with an idempotency key. */
		BOOKING

	}

	/**
	 * The result of a request for its caller.
	 */
	enum Outcome {

		/** The complete answer to this request was received. */
		WHOLE,

		/** A complete answer was received that belongs to another request. */
		FOREIGN,

		/** The response states that the request was not executed. */
		NOT_RUN,

		/** The response states that it is unknown whether the request was executed. */
		UNKNOWN,

		/** The response ended before it was complete. */
		BROKEN_OFF,

		/** No response was received. */
		NO_ANSWER

	}

}
