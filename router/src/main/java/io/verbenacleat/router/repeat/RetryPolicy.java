package io.verbenacleat.router.repeat;

import io.verbenacleat.router.config.RequestKind;

/**
 * Decides whether a request may be sent to one more backend server. Stateless.
 */
public final class RetryPolicy {

	private RetryPolicy() {
	}

	/**
	 * Decides by what is known of the sends before.
	 * @param kind what may be repeated
	 * @param sendCount how many times the request was sent, those that never left excluded
	 * @param maxAttempts the most sends
	 * @param mayHaveRun whether a server may have run the request
	 * @return {@code true} when the request may be sent again
	 */
	public static boolean mayRetry(RequestKind kind, int sendCount, int maxAttempts, boolean mayHaveRun) {
		return sendCount < maxAttempts && (!mayHaveRun || kind.isRetryable());
	}

}
