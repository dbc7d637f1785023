package io.verbenacleat.router.balance;

/**
 * Until when one incarnation of a backend server warms up, from what the server stated
 * and when this router first saw it. Not safe for use by several threads.
 * <p>
 * Statements arrive late and by different ways, so an older one may follow a newer one. A
 * statement with a later end always applies, since sending too few requests does no harm.
 * One with an earlier end applies only if it is certainly the newer one.
 */
final class WarmUpPhase {

	/**
	 * A registration is renewed every 1.2 s and arrives 0.8 s later. A statement that was
	 * received this long after another one was also made after it.
	 */
	static final long MAX_REORDERING_MS = 3_000;

	private static final long NEVER = Long.MIN_VALUE;

	private long firstSeenAtMs = NEVER;

	private long endsAtMs = NEVER;

	private long statedAtMs = NEVER;

	private boolean invalidReported;

	/**
	 * Records that the incarnation was first seen when other servers were known already,
	 * so that it has just started.
	 * @param atMs the steady time in milliseconds
	 */
	void onStarted(long atMs) {
		this.firstSeenAtMs = atMs;
	}

	/**
	 * Records the remaining time that the server stated.
	 * @param leftMs the time in milliseconds, 0 or more
	 * @param receivedAtMs when it was received, by the steady time in milliseconds
	 */
	void onStated(long leftMs, long receivedAtMs) {
		long endMs = receivedAtMs + leftMs;
		if (this.statedAtMs == NEVER || endMs > this.endsAtMs || receivedAtMs >= this.statedAtMs + MAX_REORDERING_MS) {
			this.endsAtMs = endMs;
			this.statedAtMs = Math.max(this.statedAtMs, receivedAtMs);
		}
	}

	/**
	 * Records that the server stated a remaining time that cannot be used.
	 * @return {@code true} for the first one
	 */
	boolean onInvalid() {
		boolean first = !this.invalidReported;
		this.invalidReported = true;
		return first;
	}

	/**
	 * Returns the remaining time.
	 * @param nowMs the steady time in milliseconds
	 * @param startMs how long servers warm up after their start
	 * @return the time in milliseconds, 0 if the server does not warm up
	 */
	long remainingMs(long nowMs, long startMs) {
		if (this.statedAtMs != NEVER) {
			return Math.max(0, this.endsAtMs - nowMs);
		}
		return (this.firstSeenAtMs != NEVER) ? Math.max(0, this.firstSeenAtMs + startMs - nowMs) : 0;
	}

}
