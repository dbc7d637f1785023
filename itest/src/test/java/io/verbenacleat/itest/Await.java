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
	 * @param what the condition, for the message
	 * @param deadline the longest wait
	 * @param condition the condition
	 * @throws AssertionError when it does not hold within the deadline
	 */
	static void until(String what, Duration deadline, Condition condition) {
		long endNanos = System.nanoTime() + deadline.toNanos();
		Exception last = null;
		while (System.nanoTime() < endNanos) {
			try {
				if (condition.holds()) {
					return;
				}
				last = null;
			}
			catch (Exception ex) {
				last = ex;
			}
			LockSupport.parkNanos(POLL_INTERVAL_NANOS);
		}
		throw new AssertionError("Not within " + deadline + ": " + what, last);
	}

	/**
	 * A condition; a failure counts as not yet.
	 */
	@FunctionalInterface
	interface Condition {

		boolean holds() throws Exception;

	}

}
