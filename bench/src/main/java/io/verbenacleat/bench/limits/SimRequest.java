package io.verbenacleat.bench.limits;

/**
 * One attempt of a request. Immutable.
 *
 * @param workspace the index of the workspace, 0 for the large one
 * @param priority the priority, lower is more urgent
 * @param promptTokens the number of tokens of the prompt
 * @param answerTokens the number of tokens of the answer
 * @param arrivedAtMs when the attempt arrived, in milliseconds since the start
 * @param attempt the number of the attempt, from 1
 * @param inBurst whether the request is part of the burst
 * @param belowShare where the workspace had fewer requests in progress than its share
 * when the attempt arrived
 */
record SimRequest(int workspace, int priority, int promptTokens, int answerTokens, long arrivedAtMs, int attempt,
		boolean inBurst, BelowShare belowShare) {

	static final long TIMEOUT_MS = 60_000;

	static final int MAX_ANSWER_TOKENS = 800;

	/**
	 * A server processes about 8,000 prompt tokens per second, which is 400 per step of
	 * 50 ms.
	 */
	private static final double PREFILL_TOKENS_PER_STEP = 400;

	long timeoutAtMs() {
		return this.arrivedAtMs + TIMEOUT_MS;
	}

	double steps() {
		return this.promptTokens / PREFILL_TOKENS_PER_STEP + this.answerTokens;
	}

	boolean isLarge() {
		return this.workspace == 0;
	}

	SimRequest retriedAt(long nowMs) {
		return new SimRequest(this.workspace, this.priority, this.promptTokens, this.answerTokens, nowMs,
				this.attempt + 1, this.inBurst, BelowShare.NOWHERE);
	}

	SimRequest withBelowShare(BelowShare newBelowShare) {
		return new SimRequest(this.workspace, this.priority, this.promptTokens, this.answerTokens, this.arrivedAtMs,
				this.attempt, this.inBurst, newBelowShare);
	}

	/** Where a workspace is below its share. */
	enum BelowShare {

		/** Neither at its server nor over all servers. */
		NOWHERE,

		/** Over all servers, but not at its server. */
		FLEET,

		/** At its server. */
		SERVER

	}

}
