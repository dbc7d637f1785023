package io.verbenacleat.entry.budget;

/**
 * A spending rate with exponential decay. Not safe for use by several threads.
 */
final class SpendingRate {

	/**
	 * Short enough to follow a burst, long enough to bridge the gaps between requests.
	 */
	private static final double DECAY_SECONDS = 30;

	private double tokensPerSecond;

	private long updatedAtMs;

	void add(long tokens, long nowMs) {
		this.tokensPerSecond = perSecond(nowMs) + tokens / DECAY_SECONDS;
		this.updatedAtMs = nowMs;
	}

	/**
	 * Returns the decayed rate; a clock that steps back leaves it unchanged.
	 * @param nowMs the current time, in milliseconds since the epoch
	 * @return the rate, in tokens per second
	 */
	double perSecond(long nowMs) {
		double seconds = Math.max(0, nowMs - this.updatedAtMs) / 1000.0;
		return this.tokensPerSecond * Math.exp(-seconds / DECAY_SECONDS);
	}

}
