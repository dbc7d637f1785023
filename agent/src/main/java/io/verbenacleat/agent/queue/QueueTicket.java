package io.verbenacleat.agent.queue;

import java.util.Comparator;

/**
 * Ticket of one order in an {@link OrderQueue}. Control thread only.
 *
 * @param <T> the type of the order
 */
public final class QueueTicket<T> {

	private final SchedulingAttributes attributes;

	private final T item;

	private final long number;

	private final long deadlineMs;

	private State state = State.OUT;

	QueueTicket(SchedulingAttributes attributes, T item, long number, long deadlineMs) {
		this.attributes = attributes;
		this.item = item;
		this.number = number;
		this.deadlineMs = deadlineMs;
	}

	/**
	 * Returns the order.
	 * @return the order
	 */
	public T item() {
		return this.item;
	}

	/**
	 * Returns the time by which the order must start or be withdrawn.
	 * @return the end of its maximum wait or its timeout, whichever is earlier, in
	 * milliseconds since the epoch
	 */
	public long deadlineMs() {
		return this.deadlineMs;
	}

	/**
	 * Returns whether the order waits in the queue.
	 * @return {@code true} until it starts or is withdrawn
	 */
	public boolean waiting() {
		return this.state == State.WAITING;
	}

	SchedulingAttributes attributes() {
		return this.attributes;
	}

	State state() {
		return this.state;
	}

	void setState(State newState) {
		this.state = newState;
	}

	/**
	 * Returns the comparator for tickets: by priority, then by arrival.
	 * @param <T> the type of the orders
	 * @return the comparator
	 */
	static <T> Comparator<QueueTicket<T>> byUrgency() {
		return Comparator.<QueueTicket<T>>comparingInt((ticket) -> ticket.attributes.priority())
			.thenComparingLong((ticket) -> ticket.number);
	}

	enum State {

		OUT, WAITING, RUNNING

	}

}
