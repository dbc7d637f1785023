package io.verbenacleat.agent.queue;

import org.jspecify.annotations.Nullable;

/**
 * Decision of an {@link OrderQueue} on a new order. Immutable.
 *
 * @param <T> the type of the order
 */
public sealed interface QueueDecision<T> {

	/**
	 * The order starts now.
	 *
	 * @param <T> the type of the order
	 * @param ticket the ticket of the order
	 */
	record Start<T>(QueueTicket<T> ticket) implements QueueDecision<T> {
	}

	/**
	 * The order waits.
	 *
	 * @param <T> the type of the order
	 * @param ticket the ticket of the order
	 * @param shed the ticket of the order that was removed from the full queue,
	 * {@code null} when the queue was not full
	 */
	record Wait<T>(QueueTicket<T> ticket, @Nullable QueueTicket<T> shed) implements QueueDecision<T> {
	}

	/**
	 * The order was refused.
	 *
	 * @param <T> the type of the order
	 * @param detail a description of the reason
	 */
	record Refuse<T>(String detail) implements QueueDecision<T> {
	}

}
