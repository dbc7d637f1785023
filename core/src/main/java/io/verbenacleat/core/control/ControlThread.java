package io.verbenacleat.core.control;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * The single thread that owns the control state of a daemon, with its clock and timers.
 * Tasks run one at a time, in the order in which they were submitted. All methods may be
 * called on any thread.
 */
public interface ControlThread extends Executor, AutoCloseable {

	/**
	 * Returns the clock to read the time of day from.
	 * @return the clock, never {@code null}
	 */
	Clock clock();

	/**
	 * Returns a monotonic time for measuring durations; it is not affected by clock
	 * steps.
	 * @return the time in nanoseconds since an arbitrary origin
	 */
	long nanoTime();

	/**
	 * Runs a task once after a delay.
	 * @param delay the delay, zero or more
	 * @param task the task
	 * @return a handle that cancels the task
	 */
	Cancellable schedule(Duration delay, Runnable task);

	/**
	 * Runs a task repeatedly, with a fixed delay before the first run and between the end
	 * of one run and the start of the next.
	 * @param delay the delay, more than zero
	 * @param task the task; an exception that it throws is counted and does not prevent
	 * further runs
	 * @return a handle that cancels further runs
	 */
	Cancellable scheduleWithFixedDelay(Duration delay, Runnable task);

	/**
	 * Returns whether the calling thread is the control thread.
	 * @return {@code true} on the control thread
	 */
	boolean isCurrent();

	/**
	 * Computes a value on the control thread.
	 * @param <T> the type of the value
	 * @param supplier computes the value
	 * @return a future that completes on the control thread
	 */
	default <T> CompletableFuture<T> submit(Supplier<T> supplier) {
		return CompletableFuture.supplyAsync(supplier, this);
	}

	/**
	 * Stops the thread; tasks that have not started are discarded.
	 */
	@Override
	void close();

}
