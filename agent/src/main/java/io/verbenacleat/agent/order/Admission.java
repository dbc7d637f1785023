package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.RefusalReason;

/**
 * Result of offering an order to the {@link OrderTable}. Immutable.
 */
sealed interface Admission {

	/**
	 * The order may run now.
	 *
	 * @param order the order
	 */
	record Started(ActiveOrder order) implements Admission {
	}

	/**
	 * The order waits in the queue of the backend server.
	 *
	 * @param order the order
	 */
	record Queued(ActiveOrder order) implements Admission {
	}

	/**
	 * The order was refused and never starts.
	 *
	 * @param reason the reason for the refusal
	 * @param detail a description of the reason for the gateway
	 */
	record Denied(RefusalReason reason, String detail) implements Admission {
	}

}
