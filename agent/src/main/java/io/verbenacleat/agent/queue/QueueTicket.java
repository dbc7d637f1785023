package io.verbenacleat.agent.queue;

import java.util.Comparator;

/**
 * The place of one order in a queue. Control thread only.
 *
 * @param <T> the type of the order
 */
public final class QueueTicket<T> {

	private final SchedulingAttributes work;

	private final T item;

	private final long number;

	private final long deadlineMs;

	private State state = State.OUT;

	QueueTicket(SchedulingAttributes work, T item, long number, long leaveByMs) {
		this.work = work;
		this.item = item;
		this.number = number;
		this.deadlineMs = leaveByMs;
	}

	/**
	 * Returns the order.
	 * @return the order as it was offered
	 */
	public T item() {
		return this.item;
	}

	/**
	 * Returns when the order must have left the queue.
	 * @return the end of its longest wait or its timeout, in milliseconds since the epoch
	 */
	public long deadlineMs() {
		return this.deadlineMs;
	}

	/**
	 * Returns whether the order waits.
	 * @return {@code true} until it starts or is withdrawn
	 */
	public boolean waiting() {
		return this.state == State.WAITING;
	}

	SchedulingAttributes work() {
		return this.work;
	}

	State state() {
		return this.state;
	}

	void setState(State newState) {
		this.state = newState;
	}

	/**
	 * Returns the order of the tickets of one workspace: by priority, then by arrival.
	 * @param <T> the type of the orders
	 * @return the comparator
	 */
	static <T> Comparator<QueueTicket<T>> byUrgency() {
		return Comparator.<QueueTicket<T>>comparingInt((ticket) -> ticket.work.priority())
			.thenComparingLong((ticket) -> ticket.number);
	}

	enum State {

		OUT, WAITING, RUNNING

	}

}
