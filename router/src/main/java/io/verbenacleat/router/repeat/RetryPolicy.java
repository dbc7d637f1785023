package io.verbenacleat.router.repeat;

import io.verbenacleat.router.config.RequestKind;

/**
 * Decides whether a request may be sent to another backend server. Stateless.
 */
public final class RetryPolicy {

	private RetryPolicy() {
	}

	/**
	 * Returns whether a request may be retried after the sends so far.
	 * @param kind the kind of request
	 * @param sendCount the number of sends so far, without those that never left this
	 * router
	 * @param maxAttempts the maximum number of sends
	 * @param mayHaveRun whether a server may have run the request
	 * @return {@code true} if the request may be sent again
	 */
	public static boolean mayRetry(RequestKind kind, int sendCount, int maxAttempts, boolean mayHaveRun) {
		return sendCount < maxAttempts && (!mayHaveRun || kind.isRetryable());
	}

}
