package io.verbenacleat.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.Semaphore;

/**
 * Runs blocking tasks in virtual time. One task runs at a time; when it pauses, the time
 * advances to the next wake-up of any task. Pauses take no real time, and runs with the
 * same tasks are deterministic.
 */
final class VirtualTime {

	private final PriorityQueue<WakeUp> wakeUps = new PriorityQueue<>(
			Comparator.comparingLong(WakeUp::atMs).thenComparingLong(WakeUp::sequence));

	private final Semaphore paused = new Semaphore(0);

	private final List<Thread> threads = new ArrayList<>();

	private volatile long nowMs;

	private long sequence;

	long nowMs() {
		return this.nowMs;
	}

	/**
	 * Adds a task, which is started by {@link #run}.
	 * @param task the task
	 */
	void start(Runnable task) {
		WakeUp start = wakeUp(0);
		Thread thread = new Thread(() -> {
			start.permit.acquireUninterruptibly();
			try {
				task.run();
			}
			finally {
				this.paused.release();
			}
		});
		thread.setDaemon(true);
		this.threads.add(thread);
	}

	/**
	 * Pauses the calling task.
	 * @param ms the duration in virtual milliseconds
	 */
	void pause(long ms) {
		WakeUp end = wakeUp(ms);
		this.paused.release();
		end.permit.acquireUninterruptibly();
	}

	/**
	 * Starts the tasks and advances the time until all of them have ended.
	 */
	void run() {
		this.threads.forEach(Thread::start);
		for (WakeUp next = this.wakeUps.poll(); next != null; next = this.wakeUps.poll()) {
			this.nowMs = next.atMs;
			next.permit.release();
			this.paused.acquireUninterruptibly();
		}
	}

	private WakeUp wakeUp(long delayMs) {
		WakeUp wakeUp = new WakeUp(this.nowMs + delayMs, this.sequence++, new Semaphore(0));
		this.wakeUps.add(wakeUp);
		return wakeUp;
	}

	private record WakeUp(long atMs, long sequence, Semaphore permit) {
	}

}
