package io.verbenacleat.entry.request;

/**
 * The refusal or failure of a request, returned to the caller instead of a normal
 * response. Immutable.
 *
 * @param code the reason
 * @param outcome whether the request was run
 * @param detail one sentence for the caller
 * @param retryAfterMs the delay before a retry in milliseconds, or 0 if a retry does not
 * help
 */
public record Refusal(RefusalCode code, Outcome outcome, String detail, long retryAfterMs) {

	/**
	 * Returns a refusal of a request that was not run and never will be.
	 * @param code the reason
	 * @param detail one sentence for the caller
	 * @return the refusal, without a retry delay
	 */
	public static Refusal notRun(RefusalCode code, String detail) {
		return new Refusal(code, Outcome.NOT_RUN, detail, 0);
	}

	/**
	 * Returns a failure of a request that was run or may have been run.
	 * @param code the reason
	 * @param detail one sentence for the caller
	 * @return the refusal, without a retry delay
	 */
	public static Refusal unknown(RefusalCode code, String detail) {
		return new Refusal(code, Outcome.UNKNOWN, detail, 0);
	}

	/**
	 * Returns a copy of this refusal with a retry delay.
	 * @param newRetryAfterMs the delay in milliseconds, zero or more
	 * @return the copy
	 */
	public Refusal withRetryAfterMs(long newRetryAfterMs) {
		return new Refusal(this.code, this.outcome, this.detail, newRetryAfterMs);
	}

	/**
	 * Whether a refused or failed request was run.
	 */
	public enum Outcome {

		/** The request was not run and never will be. */
		NOT_RUN("not-run"),

		/** The request was run completely or in part, or its outcome is unknown. */
		UNKNOWN("unknown");

		private final String text;

		Outcome(String text) {
			this.text = text;
		}

		/**
		 * Returns the text that is sent to callers.
		 * @return the text
		 */
		public String text() {
			return this.text;
		}

	}

}
