package io.verbenacleat.entry.dispatch;

import java.time.Clock;

/**
 * Limits the retries of an entry to a tenth of its requests, or to three a second if that
 * is more. Implemented as a token bucket that is refilled once a second and discards
 * unused tokens, so that a period of low load does not allow a burst of retries. Safe for
 * use by several threads.
 */
public final class RetryBudget {

	/** The retries allowed in each second regardless of the number of requests. */
	static final int MIN_RETRIES_PER_SECOND = 3;

	/** The number of requests in the previous second for each retry allowed. */
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
	 * Counts a request. Retries are not counted.
	 */
	public synchronized void onRequest() {
		refill();
		this.requests++;
	}

	/**
	 * Takes one retry from the budget.
	 * @param reason the reason why the previous order was not run, as label value for
	 * metrics
	 * @return {@code false} if the budget is exhausted
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
			// The clock was set back, so the interval is restarted without new tokens.
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
