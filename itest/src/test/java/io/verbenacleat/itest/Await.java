package io.verbenacleat.itest;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Polls conditions until they hold or a timeout expires. Thread-safe; blocks.
 */
final class Await {

	private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private Await() {
	}

	/**
	 * Blocks until a condition holds.
	 * @param description the condition in words, for the error message
	 * @param timeout the maximum time to wait
	 * @param condition the condition
	 * @throws AssertionError when the condition does not hold in time; its cause is the
	 * exception of the last evaluation, if any
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
	 * A condition. An exception counts as a condition that does not hold yet.
	 */
	@FunctionalInterface
	interface Condition {

		boolean holds() throws Exception;

	}

}
