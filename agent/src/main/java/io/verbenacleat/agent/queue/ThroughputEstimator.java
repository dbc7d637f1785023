package io.verbenacleat.agent.queue;

/**
 * Estimates the mean interval between events, such as ends of orders, with an
 * exponentially weighted moving average. Only intervals during saturation count: with
 * free slots on the server, the interval depends on the arrivals and not on its
 * throughput. Control thread only.
 */
final class ThroughputEstimator {

	/**
	 * Weight of the newest interval; a smaller weight reacts too late to a server that
	 * slows down.
	 */
	private static final double SMOOTHING_FACTOR = 1.0 / 16;

	/**
	 * With fewer intervals there is no estimate, and orders are accepted up to the queue
	 * limit.
	 */
	private static final int MIN_INTERVALS = 4;

	/**
	 * An open interval longer than this multiple of the mean raises the estimate, because
	 * the server has slowed down or stalled. Of exponentially distributed intervals with
	 * an unchanged mean, about 3 in 10,000 are longer.
	 */
	private static final double STALL_FACTOR = 8;

	private double meanMs;

	private int intervalCount;

	private long intervalStartMs = -1;

	/**
	 * Starts an interval on saturation, or discards the open one when saturation ends.
	 * @param saturated whether the source of the events is saturated
	 * @param nowMs the current time in milliseconds
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
	 * Records an event; ignored without saturation.
	 * @param nowMs the current time in milliseconds
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
	 * Returns the expected time until a number of events have occurred.
	 * @param count the number of events
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds, 0 without an estimate
	 */
	double expectedMs(int count, long nowMs) {
		if (this.intervalCount < MIN_INTERVALS) {
			return 0;
		}
		double openIntervalMs = (this.intervalStartMs >= 0) ? nowMs - this.intervalStartMs : 0;
		return count * Math.max(this.meanMs, openIntervalMs / STALL_FACTOR);
	}

}
