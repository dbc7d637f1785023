package io.verbenacleat.core.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

import org.jspecify.annotations.Nullable;

/**
 * A {@link ControlThread} for tests with a manual clock. Time changes only by calls of
 * this class, and tasks run on the thread that calls {@link #runPending} or
 * {@link #advance}. Not safe for use by several threads.
 */
public final class ManualControlThread implements ControlThread {

	private final Queue<Runnable> pending = new ArrayDeque<>();

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(
			Comparator.comparing((Timer timer) -> timer.due).thenComparingLong((timer) -> timer.sequence));

	private Instant now;

	private Duration totalClockStep = Duration.ZERO;

	private long timerCount;

	/**
	 * Creates a control thread.
	 * @param start the initial time of its clock
	 */
	public ManualControlThread(Instant start) {
		this.now = start;
	}

	/**
	 * Runs all submitted tasks, including those that are submitted meanwhile; timers do
	 * not run.
	 */
	public void runPending() {
		Runnable task = this.pending.poll();
		while (task != null) {
			task.run();
			task = this.pending.poll();
		}
	}

	/**
	 * Advances the clock and runs each timer at its due time, and all submitted tasks.
	 * @param duration the duration, zero or more
	 */
	public void advance(Duration duration) {
		Instant end = this.now.plus(duration);
		runPending();
		Timer next = this.timers.peek();
		while (next != null && !next.due.isAfter(end)) {
			this.timers.remove(next);
			this.now = (next.due.isAfter(this.now)) ? next.due : this.now;
			if (!next.cancelled) {
				next.run();
			}
			runPending();
			next = this.timers.peek();
		}
		this.now = end;
	}

	/**
	 * Advances the clock without running tasks, which simulates a paused process. Timers
	 * that become due run late, at the next {@link #advance}.
	 * @param duration the duration, zero or more
	 */
	public void pause(Duration duration) {
		this.now = this.now.plus(duration);
	}

	/**
	 * Steps the clock, which simulates a correction of the system clock. The remaining
	 * delay of timers and {@link #nanoTime} do not change.
	 * @param step the step, negative to set the clock back
	 */
	public void stepClock(Duration step) {
		this.now = this.now.plus(step);
		this.totalClockStep = this.totalClockStep.plus(step);
		Queue<Timer> moved = new ArrayDeque<>(this.timers);
		this.timers.clear();
		for (Timer timer : moved) {
			timer.due = timer.due.plus(step);
			this.timers.add(timer);
		}
	}

	@Override
	public Clock clock() {
		return new ManualClock();
	}

	@Override
	public long nanoTime() {
		return Duration.between(Instant.EPOCH, this.now).minus(this.totalClockStep).toNanos();
	}

	@Override
	public void execute(Runnable task) {
		this.pending.add(task);
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		return addTimer(delay, null, task);
	}

	@Override
	public Cancellable scheduleWithFixedDelay(Duration delay, Runnable task) {
		return addTimer(delay, delay, task);
	}

	@Override
	public boolean isCurrent() {
		return true;
	}

	@Override
	public void close() {
		this.pending.clear();
		this.timers.clear();
	}

	private Cancellable addTimer(Duration delay, @Nullable Duration repeatDelay, Runnable task) {
		Timer timer = new Timer(this.now.plus(delay), this.timerCount++, repeatDelay, task);
		this.timers.add(timer);
		return () -> timer.cancelled = true;
	}

	private final class Timer {

		private final long sequence;

		private final @Nullable Duration repeatDelay;

		private final Runnable task;

		private Instant due;

		private boolean cancelled;

		private Timer(Instant due, long sequence, @Nullable Duration repeatDelay, Runnable task) {
			this.due = due;
			this.sequence = sequence;
			this.repeatDelay = repeatDelay;
			this.task = task;
		}

		private void run() {
			this.task.run();
			if (this.repeatDelay != null && !this.cancelled) {
				this.due = ManualControlThread.this.now.plus(this.repeatDelay);
				ManualControlThread.this.timers.add(this);
			}
		}

	}

	private final class ManualClock extends Clock {

		@Override
		public ZoneId getZone() {
			return ZoneOffset.UTC;
		}

		@Override
		public Clock withZone(ZoneId zone) {
			return this;
		}

		@Override
		public Instant instant() {
			return ManualControlThread.this.now;
		}

	}

}
