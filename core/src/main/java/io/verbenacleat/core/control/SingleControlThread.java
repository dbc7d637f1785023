package io.verbenacleat.core.control;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * A {@link ControlThread} that runs tasks on a dedicated daemon thread. Tasks submitted
 * after {@link #close} are discarded. Safe for use by several threads.
 */
public final class SingleControlThread implements ControlThread {

	private static final Logger logger = LogManager.getLogger(SingleControlThread.class);

	private final Clock clock;

	private final ScheduledThreadPoolExecutor executor;

	private final AtomicLong failedTasks = new AtomicLong();

	private volatile @Nullable Thread thread;

	/**
	 * Creates a control thread that uses the system clock in UTC.
	 * @param name the name of the thread
	 */
	public SingleControlThread(String name) {
		this.clock = Clock.systemUTC();
		this.executor = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread created = new Thread(task, name);
			created.setDaemon(true);
			this.thread = created;
			return created;
		});
		this.executor.setRemoveOnCancelPolicy(true);
		this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
	}

	@Override
	public Clock clock() {
		return this.clock;
	}

	@Override
	public long nanoTime() {
		return System.nanoTime();
	}

	@Override
	public void execute(Runnable task) {
		try {
			this.executor.execute(() -> run(task));
		}
		catch (RejectedExecutionException ex) {
			logger.debug("Task discarded because the control thread is stopped");
		}
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		try {
			var future = this.executor.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
			return () -> future.cancel(false);
		}
		catch (RejectedExecutionException ex) {
			return () -> {
			};
		}
	}

	@Override
	public Cancellable scheduleWithFixedDelay(Duration delay, Runnable task) {
		var future = this.executor.scheduleWithFixedDelay(() -> run(task), delay.toNanos(), delay.toNanos(),
				TimeUnit.NANOSECONDS);
		return () -> future.cancel(false);
	}

	@Override
	public boolean isCurrent() {
		return Thread.currentThread() == this.thread;
	}

	/**
	 * Returns the number of tasks that threw an exception.
	 * @return the count since the thread was created
	 */
	public long failedTasks() {
		return this.failedTasks.get();
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			this.failedTasks.incrementAndGet();
			logger.error("A control task failed", ex);
		}
	}

}
