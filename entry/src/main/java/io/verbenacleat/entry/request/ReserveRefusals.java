package io.verbenacleat.entry.request;

import io.verbenacleat.proto.v1.ReserveResponse;

/**
 * Maps refusals of budget holders to refusals for callers.
 */
public final class ReserveRefusals {

	private ReserveRefusals() {
	}

	/**
	 * Maps the refusal of a holder. The outcome is always that the request was not run.
	 * @param response the response of the holder, not granted
	 * @param defaultRetryAfterMs the retry delay in milliseconds if the holder returned
	 * none
	 * @return the refusal for the caller
	 */
	public static Refusal map(ReserveResponse response, long defaultRetryAfterMs) {
		long retryAfterMs = (response.getRetryAfterMs() > 0) ? response.getRetryAfterMs() : defaultRetryAfterMs;
		return switch (response.getRefusal()) {
			case UNKNOWN_ACCOUNT, UNKNOWN_KEY -> Refusal.notRun(RefusalCode.INVALID_API_KEY, "The key is not known.");
			case REVOKED_KEY -> Refusal.notRun(RefusalCode.REVOKED_API_KEY, "The key was revoked.");
			case QUOTA_EXHAUSTED -> Refusal.notRun(RefusalCode.INSUFFICIENT_QUOTA,
					"The rest of the prepaid budget does not cover the request.");
			case BUDGET_RESERVED ->
				Refusal.notRun(RefusalCode.BUDGET_RESERVED, "Requests in progress reserve the rest of the budget.")
					.withRetryAfterMs(retryAfterMs);
			case JOURNAL_FULL ->
				Refusal.notRun(RefusalCode.JOURNAL_FULL, "Too many receipts wait for the table service.")
					.withRetryAfterMs(retryAfterMs);
			default -> unreachable(retryAfterMs);
		};
	}

	/**
	 * Returns the refusal for a budget without a reachable holder.
	 * @param retryAfterMs the retry delay in milliseconds
	 * @return the refusal
	 */
	static Refusal unreachable(long retryAfterMs) {
		return Refusal.notRun(RefusalCode.BUDGET_UNREACHABLE, "The budget of the account cannot be reached.")
			.withRetryAfterMs(retryAfterMs);
	}

}
