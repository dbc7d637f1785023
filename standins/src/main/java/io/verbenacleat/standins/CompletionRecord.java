package io.verbenacleat.standins;

/**
 * Record of one chat completion that the engine stand-in started. Immutable.
 *
 * @param requestId the header {@code Verbena-Request-Id}, empty when absent
 * @param model the name of the model or adapter
 * @param promptTokens the number of tokens of the prompt
 * @param generatedTokens the number of tokens generated so far; the caller may have
 * received fewer
 * @param cancelled whether the connection broke before the end
 * @param fencingToken the fencing token, 0 when the request has none
 * @param startedAtMs the start, in milliseconds since the epoch
 * @param finishedAtMs the end, in milliseconds since the epoch; 0 while it runs
 */
public record CompletionRecord(String requestId, String model, int promptTokens, int generatedTokens, boolean cancelled,
		long fencingToken, long startedAtMs, long finishedAtMs) {

	/**
	 * Returns this record with another number of generated tokens.
	 * @param newGeneratedTokens the number of tokens generated so far
	 * @return the changed copy
	 */
	CompletionRecord withGeneratedTokens(int newGeneratedTokens) {
		return new CompletionRecord(this.requestId, this.model, this.promptTokens, newGeneratedTokens, this.cancelled,
				this.fencingToken, this.startedAtMs, this.finishedAtMs);
	}

	/**
	 * Returns this record for a completion that has ended.
	 * @param newCancelled whether the connection broke before the end
	 * @param newFinishedAtMs the end, in milliseconds since the epoch
	 * @return the changed copy
	 */
	CompletionRecord withFinished(boolean newCancelled, long newFinishedAtMs) {
		return new CompletionRecord(this.requestId, this.model, this.promptTokens, this.generatedTokens, newCancelled,
				this.fencingToken, this.startedAtMs, newFinishedAtMs);
	}

}
