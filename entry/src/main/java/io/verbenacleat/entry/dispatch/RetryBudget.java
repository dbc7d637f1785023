package io.verbenacleat.entry.dispatch;

import java.time.Clock;

/**
 * Bounds the retries of an entry to a tenth of its requests, at least three each second.
 * It is a token bucket that is refilled once a second and keeps no tokens from earlier
 * seconds, so that a quiet time allows no burst of retries. Safe for use by several
 * threads.
 */
public final class RetryBudget {

	/** The retries that each second allows when there are few requests. */
	static final int MIN_RETRIES_PER_SECOND = 3;

	/** One retry for each ten requests of the second before. */
	static final int REQUESTS_PER_RETRY = 10;

	private static final long REFILL_INTERVAL_MS = 1000;

	private final Clock clock;

	private final RunMetrics metrics;

	private long refilledAtMs;

	private long requests;

	private long tokens = MIN_RETRIES_PER_SECOND;

	/**
	 * Creates a full budget.
	 * @param clock the clock of the control thread
	 * @param metrics counts retries and denied retries
	 */
	public RetryBudget(Clock clock, RunMetrics metrics) {
		this.clock = clock;
		this.metrics = metrics;
		this.refilledAtMs = clock.millis();
	}

	/**
	 * Counts a request, without its retries.
	 */
	public synchronized void onRequest() {
		refill();
		this.requests++;
	}

	/**
	 * Takes one retry out of the budget.
	 * @param reason why the order before was not run, for the counters
	 * @return {@code false} when the budget is used up
	 */
	public synchronized boolean tryRetry(String reason) {
		refill();
		if (this.tokens == 0) {
			this.metrics.retryDenied(reason);
			return false;
		}
		this.tokens--;
		this.metrics.retried(reason);
		return true;
	}

	private void refill() {
		long nowMs = this.clock.millis();
		long elapsedMs = nowMs - this.refilledAtMs;
		if (elapsedMs < 0) {
			// The clock stepped back: the interval starts anew, without new tokens.
			this.refilledAtMs = nowMs;
		}
		else if (elapsedMs >= REFILL_INTERVAL_MS) {
			long lastSecond = (elapsedMs < 2 * REFILL_INTERVAL_MS) ? this.requests : 0;
			this.tokens = Math.max(MIN_RETRIES_PER_SECOND, lastSecond / REQUESTS_PER_RETRY);
			this.requests = 0;
			this.refilledAtMs = nowMs;
		}
	}

}
