package io.verbenacleat.core.control;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * The one thread that owns the control state of a daemon, with its clock and its timers.
 * All methods may be called from any thread; tasks run one at a time, in the order in
 * which they were given.
 */
public interface ControlThread extends Executor, AutoCloseable {

	/**
	 * Returns the clock that timers follow.
	 * @return the clock, never {@code null}
	 */
	Clock clock();

	/**
	 * Returns a time in nanoseconds for measuring durations; steps of the clock do not
	 * change it.
	 * @return the time since an arbitrary origin
	 */
	long nanoTime();

	/**
	 * Runs a task once after a delay.
	 * @param delay the delay, zero or more
	 * @param task the task
	 * @return a handle that stops the timer
	 */
	Cancellable schedule(Duration delay, Runnable task);

	/**
	 * Runs a task again and again, with a fixed delay between the end of one run and the
	 * start of the next. The first run comes after one delay.
	 * @param delay the delay, more than zero
	 * @param task the task; an exception that it throws is counted and does not stop the
	 * repetition
	 * @return a handle that stops the repetition
	 */
	Cancellable scheduleWithFixedDelay(Duration delay, Runnable task);

	/**
	 * Returns whether the calling thread is the control thread.
	 * @return {@code true} on the control thread
	 */
	boolean isCurrent();

	/**
	 * Runs a computation on the control thread.
	 * @param <T> the type of the result
	 * @param supplier the computation
	 * @return a future that completes on the control thread
	 */
	default <T> CompletableFuture<T> submit(Supplier<T> supplier) {
		return CompletableFuture.supplyAsync(supplier, this);
	}

	/**
	 * Stops the thread; tasks that have not started are dropped.
	 */
	@Override
	void close();

}
