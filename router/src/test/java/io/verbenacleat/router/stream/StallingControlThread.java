package io.verbenacleat.router.stream;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;

/**
 * The control thread of one of several routers in virtual time, whose process may stand
 * still while the others go on. Not safe for use by several threads.
 */
final class StallingControlThread implements ControlThread {

	private final ControlThread shared;

	private final Queue<Runnable> due = new ArrayDeque<>();

	private boolean still;

	StallingControlThread(ControlThread shared) {
		this.shared = shared;
	}

	void standStill() {
		this.still = true;
	}

	/**
	 * Runs what has become due, in its order.
	 */
	void goOn() {
		this.still = false;
		Runnable task = this.due.poll();
		while (task != null) {
			task.run();
			task = this.due.poll();
		}
	}

	/**
	 * Runs a task now, or when the process goes on.
	 * @param task the task
	 */
	void runOrDefer(Runnable task) {
		if (this.still) {
			this.due.add(task);
		}
		else {
			task.run();
		}
	}

	@Override
	public Clock clock() {
		return this.shared.clock();
	}

	@Override
	public long nanoTime() {
		return this.shared.nanoTime();
	}

	@Override
	public void execute(Runnable task) {
		this.shared.execute(() -> runOrDefer(task));
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		return this.shared.schedule(delay, () -> runOrDefer(task));
	}

	@Override
	public Cancellable scheduleWithFixedDelay(Duration delay, Runnable task) {
		return this.shared.scheduleWithFixedDelay(delay, () -> runOrDefer(task));
	}

	@Override
	public boolean isCurrent() {
		return this.shared.isCurrent();
	}

	@Override
	public void close() {
		// The shared thread stays open for the other routers.
		this.due.clear();
	}

}
