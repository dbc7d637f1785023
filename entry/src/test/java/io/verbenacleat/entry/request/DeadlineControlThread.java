package io.verbenacleat.entry.request;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.control.SingleControlThread;

/**
 * A control thread that runs request deadlines, the timers of
 * {@link RunnerFixture#REQUEST_TIMEOUT}, only when a test calls {@link #expireDeadlines}.
 * Other timers run in real time. Safe for use by several threads.
 */
final class DeadlineControlThread implements ControlThread {

	private final SingleControlThread thread = new SingleControlThread("test-control");

	private final List<Runnable> deadlines = new CopyOnWriteArrayList<>();

	void expireDeadlines() {
		this.deadlines.forEach(this.thread::execute);
		this.deadlines.clear();
	}

	@Override
	public Clock clock() {
		return this.thread.clock();
	}

	@Override
	public long nanoTime() {
		return this.thread.nanoTime();
	}

	@Override
	public void execute(Runnable task) {
		this.thread.execute(task);
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		if (!delay.equals(RunnerFixture.REQUEST_TIMEOUT)) {
			return this.thread.schedule(delay, task);
		}
		this.deadlines.add(task);
		return () -> this.deadlines.remove(task);
	}

	@Override
	public Cancellable scheduleWithFixedDelay(Duration delay, Runnable task) {
		return this.thread.scheduleWithFixedDelay(delay, task);
	}

	@Override
	public boolean isCurrent() {
		return this.thread.isCurrent();
	}

	@Override
	public void close() {
		this.thread.close();
	}

}
