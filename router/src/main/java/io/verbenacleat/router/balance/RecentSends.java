package io.verbenacleat.router.balance;

/**
 * The times of the last requests of this router to one server. Not safe for use by
 * several threads.
 */
final class RecentSends {

	/** Highest number of requests in a second that is counted. */
	private static final int MAX_CAPACITY = 10_000;

	private static final long WINDOW_MS = 1_000;

	/** A ring of the last times. */
	private final long[] sentAtMs;

	private long count;

	/**
	 * Creates an instance without requests.
	 * @param maxRequestsPerS the number of requests in one second that counts as full
	 */
	RecentSends(double maxRequestsPerS) {
		this.sentAtMs = new long[(int) Math.max(1, Math.min(MAX_CAPACITY, maxRequestsPerS))];
	}

	void onSend(long nowMs) {
		this.sentAtMs[slot(this.count)] = nowMs;
		this.count++;
	}

	/**
	 * Returns whether a request was sent within the last second.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} after a request
	 */
	boolean isAny(long nowMs) {
		return this.count > 0 && nowMs - this.sentAtMs[slot(this.count - 1)] < WINDOW_MS;
	}

	/**
	 * Returns whether as many requests as the server may receive were sent within the
	 * last second.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} if the server should get no more now
	 */
	boolean isFull(long nowMs) {
		return this.count >= this.sentAtMs.length && nowMs - this.sentAtMs[slot(this.count)] < WINDOW_MS;
	}

	private int slot(long number) {
		return (int) (number % this.sentAtMs.length);
	}

}
