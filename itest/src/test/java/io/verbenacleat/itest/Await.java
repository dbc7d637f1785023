package io.verbenacleat.itest;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Waits for conditions with a deadline. Safe for use by several threads.
 */
final class Await {

	private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private Await() {
	}

	/**
	 * Waits until a condition holds.
	 * @param description the condition, for the message
	 * @param timeout the longest wait
	 * @param condition the condition
	 * @throws AssertionError when it does not hold within the deadline
	 */
	static void until(String description, Duration timeout, Condition condition) {
		long endNanos = System.nanoTime() + timeout.toNanos();
		Exception lastFailure = null;
		while (System.nanoTime() < endNanos) {
			try {
				if (condition.holds()) {
					return;
				}
				lastFailure = null;
			}
			catch (Exception ex) {
				lastFailure = ex;
			}
			LockSupport.parkNanos(POLL_INTERVAL_NANOS);
		}
		throw new AssertionError("Not within " + timeout + ": " + description, lastFailure);
	}

	/**
	 * A condition; a failure counts as not yet.
	 */
	@FunctionalInterface
	interface Condition {

		boolean holds() throws Exception;

	}

}
