package io.verbenacleat.entry.request;

/**
 * The answer to a request that got no normal answer. Immutable.
 *
 * @param code why
 * @param outcome whether the request was run
 * @param detail one sentence for the caller
 * @param retryAfterMs when to come back, in milliseconds; 0 when it does not help
 */
public record Refusal(RefusalCode code, Outcome outcome, String detail, long retryAfterMs) {

	/**
	 * Returns a refusal of a request that was not run and never will be.
	 * @param code why
	 * @param detail one sentence for the caller
	 * @return the refusal, without a time to come back
	 */
	public static Refusal notRun(RefusalCode code, String detail) {
		return new Refusal(code, Outcome.NOT_RUN, detail, 0);
	}

	/**
	 * Returns a failure of a request that was run, or may have been.
	 * @param code why
	 * @param detail one sentence for the caller
	 * @return the refusal, without a time to come back
	 */
	public static Refusal unknown(RefusalCode code, String detail) {
		return new Refusal(code, Outcome.UNKNOWN, detail, 0);
	}

	/**
	 * Returns this refusal with a time to come back.
	 * @param newRetryAfterMs the time in milliseconds, zero or more
	 * @return the changed copy
	 */
	public Refusal withRetryAfterMs(long newRetryAfterMs) {
		return new Refusal(this.code, this.outcome, this.detail, newRetryAfterMs);
	}

	/**
	 * Whether a refused request was run.
	 */
	public enum Outcome {

		/** It was not run and never will be. */
		NOT_RUN("not-run"),

		/** It was run, in whole or in part, or nobody knows. */
		UNKNOWN("unknown");

		private final String text;

		Outcome(String text) {
			this.text = text;
		}

		/**
		 * Returns the form that callers see.
		 * @return the text
		 */
		public String text() {
			return this.text;
		}

	}

}
