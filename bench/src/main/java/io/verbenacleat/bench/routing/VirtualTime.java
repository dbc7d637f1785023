package io.verbenacleat.bench.routing;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * An event queue in virtual time. Events at the same time run in the order in which they
 * were added, so that runs are reproducible. Not safe for use by several threads.
 */
public final class VirtualTime {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atUs).thenComparingLong(Event::number));

	private long nowUs;

	private long nextNumber;

	/**
	 * Returns the current time.
	 * @return the time in microseconds
	 */
	public long nowUs() {
		return this.nowUs;
	}

	/**
	 * Adds an event.
	 * @param delayUs the delay until the event, in microseconds, 0 or more
	 * @param action the action to run
	 */
	public void schedule(long delayUs, Runnable action) {
		this.events.add(new Event(this.nowUs + delayUs, this.nextNumber, action));
		this.nextNumber++;
	}

	/**
	 * Runs all events, including those that are added meanwhile.
	 */
	public void run() {
		Event next = this.events.poll();
		while (next != null) {
			this.nowUs = next.atUs();
			next.action().run();
			next = this.events.poll();
		}
	}

	private record Event(long atUs, long number, Runnable action) {
	}

}
