package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.RefusalReason;

/**
 * The answer of the order table to an order. Immutable.
 */
sealed interface Admission {

	/**
	 * The order starts.
	 *
	 * @param order the order
	 */
	record Started(ActiveOrder order) implements Admission {
	}

	/**
	 * The order waits for the backend server.
	 *
	 * @param order the order
	 */
	record Queued(ActiveOrder order) implements Admission {
	}

	/**
	 * The order does not start.
	 *
	 * @param reason the reason
	 * @param detail the reason in words
	 */
	record Denied(RefusalReason reason, String detail) implements Admission {
	}

}
