package io.verbenacleat.standins;

/**
 * What the engine stand-in did for one chat completion. Immutable.
 *
 * @param requestId the header {@code Verbena-Request-Id}, empty without one
 * @param model the model
 * @param promptTokens the tokens of the prompt
 * @param generatedTokens the tokens that were really generated
 * @param cancelled whether the connection broke before the end
 * @param fencingToken the fencing number, 0 without one
 * @param startedAtMs start, in milliseconds since the epoch
 * @param finishedAtMs end, in milliseconds since the epoch; 0 while it runs
 */
public record CompletionRecord(String requestId, String model, int promptTokens, int generatedTokens, boolean cancelled,
		long fencingToken, long startedAtMs, long finishedAtMs) {

	/**
	 * Returns this record with other generated tokens.
	 * @param newGeneratedTokens the tokens
	 * @return the changed copy
	 */
	CompletionRecord withGeneratedTokens(int newGeneratedTokens) {
		return new CompletionRecord(this.requestId, this.model, this.promptTokens, newGeneratedTokens, this.cancelled,
				this.fencingToken, this.startedAtMs, this.finishedAtMs);
	}

	/**
	 * Returns this record at its end.
	 * @param newCancelled whether the connection broke
	 * @param newFinishedAtMs the end, in milliseconds since the epoch
	 * @return the changed copy
	 */
	CompletionRecord withFinished(boolean newCancelled, long newFinishedAtMs) {
		return new CompletionRecord(this.requestId, this.model, this.promptTokens, this.generatedTokens, newCancelled,
				this.fencingToken, this.startedAtMs, newFinishedAtMs);
	}

}
