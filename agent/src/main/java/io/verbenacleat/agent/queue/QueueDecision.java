package io.verbenacleat.agent.queue;

import org.jspecify.annotations.Nullable;

/**
 * The answer of the queue to a new order. Immutable.
 *
 * @param <T> the type of the order
 */
public sealed interface QueueDecision<T> {

	/**
	 * The order starts now.
	 *
	 * @param <T> the type of the order
	 * @param ticket its place
	 */
	record Start<T>(QueueTicket<T> ticket) implements QueueDecision<T> {
	}

	/**
	 * The order waits.
	 *
	 * @param <T> the type of the order
	 * @param ticket its place
	 * @param shed the order that left the full queue for it, {@code null} when there was
	 * room
	 */
	record Wait<T>(QueueTicket<T> ticket, @Nullable QueueTicket<T> shed) implements QueueDecision<T> {
	}

	/**
	 * The order neither starts nor waits.
	 *
	 * @param <T> the type of the order
	 * @param detail the reason in words
	 */
	record Refuse<T>(String detail) implements QueueDecision<T> {
	}

}
