package io.verbenacleat.agent.queue;

/**
 * The rate at which orders end while the server is full, which is the rate at which
 * waiting orders start. Intervals in which the server had room are left out. Control
 * thread only.
 */
final class ThroughputEstimator {

	/** A smaller share reacts too late to a slower server. */
	private static final double SMOOTHING_FACTOR = 1.0 / 16;

	/** Fewer intervals give no estimate; orders are then accepted up to the bound. */
	private static final int MIN_INTERVALS = 4;

	/**
	 * An open interval this many times the mean is taken as a slower server. Random
	 * intervals of the same mean are longer in about 3 of 10,000 cases.
	 */
	private static final double STALL_FACTOR = 8;

	private double meanMs;

	private int intervalCount;

	private long intervalStartMs = -1;

	/**
	 * Notes whether the server is full.
	 * @param saturated whether as many orders run as may
	 * @param nowMs the time
	 */
	void setSaturated(boolean saturated, long nowMs) {
		if (!saturated) {
			this.intervalStartMs = -1;
		}
		else if (this.intervalStartMs < 0) {
			this.intervalStartMs = nowMs;
		}
	}

	/**
	 * Notes the end of an order.
	 * @param nowMs the time
	 */
	void recordEvent(long nowMs) {
		if (this.intervalStartMs >= 0) {
			double intervalMs = Math.max(0, nowMs - this.intervalStartMs);
			this.intervalCount++;
			this.meanMs += (intervalMs - this.meanMs) * Math.max(SMOOTHING_FACTOR, 1.0 / this.intervalCount);
			this.intervalStartMs = nowMs;
		}
	}

	/**
	 * Returns how long a number of ends is expected to take.
	 * @param count the number
	 * @param nowMs the time
	 * @return the time in milliseconds, 0 when no rate is known
	 */
	double expectedMs(int count, long nowMs) {
		if (this.intervalCount < MIN_INTERVALS) {
			return 0;
		}
		double openIntervalMs = (this.intervalStartMs >= 0) ? nowMs - this.intervalStartMs : 0;
		return count * Math.max(this.meanMs, openIntervalMs / STALL_FACTOR);
	}

}
