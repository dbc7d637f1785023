package io.verbenacleat.agent.queue;

/**
 * The rate at which orders end while the server is full, which is the rate at which
 * waiting orders start. Intervals in which the server had room are left out. Control
 * thread only.
 */
final class EndRate {

	/** A smaller share reacts too late to a slower server. */
	private static final double NEWEST_SHARE = 1.0 / 16;

	/** Fewer intervals give no estimate; orders are then accepted up to the bound. */
	private static final int MIN_INTERVALS = 4;

	/**
	 * An open interval this many times the mean is taken as a slower server. Random
	 * intervals of the same mean are longer in about 3 of 10,000 cases.
	 */
	private static final double STALL_FACTOR = 8;

	private double meanMs;

	private int intervals;

	private long sinceMs = -1;

	/**
	 * Notes whether the server is full.
	 * @param isFull whether as many orders run as may
	 * @param nowMs the time
	 */
	void full(boolean isFull, long nowMs) {
		if (!isFull) {
			this.sinceMs = -1;
		}
		else if (this.sinceMs < 0) {
			this.sinceMs = nowMs;
		}
	}

	/**
	 * Notes the end of an order.
	 * @param nowMs the time
	 */
	void ended(long nowMs) {
		if (this.sinceMs >= 0) {
			double intervalMs = Math.max(0, nowMs - this.sinceMs);
			this.intervals++;
			this.meanMs += (intervalMs - this.meanMs) * Math.max(NEWEST_SHARE, 1.0 / this.intervals);
			this.sinceMs = nowMs;
		}
	}

	/**
	 * Returns how long a number of ends is expected to take.
	 * @param count the number
	 * @param nowMs the time
	 * @return the time in milliseconds, 0 when no rate is known
	 */
	double expectedMs(int count, long nowMs) {
		if (this.intervals < MIN_INTERVALS) {
			return 0;
		}
		double openMs = (this.sinceMs >= 0) ? nowMs - this.sinceMs : 0;
		return count * Math.max(this.meanMs, openMs / STALL_FACTOR);
	}

}
