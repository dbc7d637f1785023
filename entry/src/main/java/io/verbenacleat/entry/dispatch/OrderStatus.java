package io.verbenacleat.entry.dispatch;

import io.verbenacleat.proto.v1.ResolveOrderResponse;

/**
 * The status of an order, as reported by its agent or derived from the loss of the agent.
 * Immutable.
 */
public sealed interface OrderStatus {

	/**
	 * Returns whether the status is final.
	 * @return {@code false} while the order is running or its status is unknown
	 */
	default boolean isFinal() {
		return true;
	}

	/**
	 * The order was not run and never will be.
	 */
	record NeverStarted() implements OrderStatus {
	}

	/**
	 * The order is running.
	 */
	record Running() implements OrderStatus {

		@Override
		public boolean isFinal() {
			return false;
		}

	}

	/**
	 * The order has ended.
	 *
	 * @param response the receipt, and the response of a plain service if the agent has
	 * kept it
	 */
	record Ended(ResolveOrderResponse response) implements OrderStatus {
	}

	/**
	 * The agent has discarded the outcome.
	 */
	record Forgotten() implements OrderStatus {
	}

	/**
	 * The agent is lost, so that it can no longer report the outcome.
	 */
	record AgentLost() implements OrderStatus {
	}

	/**
	 * The agent has not reported a status.
	 */
	record Unknown() implements OrderStatus {

		@Override
		public boolean isFinal() {
			return false;
		}

	}

}
