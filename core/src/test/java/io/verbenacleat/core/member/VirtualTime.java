package io.verbenacleat.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.Semaphore;

/**
 * Runs blocking tasks at the same virtual time: one thread runs at a time, and the time
 * moves on to the next wake-up when it pauses. Pauses take no real time, and a run with
 * the same tasks always takes the same course.
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
	 * Adds a task that starts at the present time.
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
	 * @param ms how long
	 */
	void pause(long ms) {
		WakeUp end = wakeUp(ms);
		this.paused.release();
		end.permit.acquireUninterruptibly();
	}

	/**
	 * Runs until all tasks have ended.
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
