package io.verbenacleat.entry.dispatch;

import io.verbenacleat.proto.v1.ResolveOrderResponse;

/**
 * What is known of an order. Immutable.
 */
public sealed interface OrderStatus {

	/**
	 * Returns whether the fate can change no more.
	 * @return {@code false} while the order runs or nothing is known
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
	 * The order runs.
	 */
	record Running() implements OrderStatus {

		@Override
		public boolean isFinal() {
			return false;
		}

	}

	/**
	 * The order ended.
	 *
	 * @param response the receipt, and the response of a plain service if kept
	 */
	record Ended(ResolveOrderResponse response) implements OrderStatus {
	}

	/**
	 * The agent no longer keeps the outcome.
	 */
	record Forgotten() implements OrderStatus {
	}

	/**
	 * The agent is lost, and the outcome with it.
	 */
	record AgentLost() implements OrderStatus {
	}

	/**
	 * The agent has not answered.
	 */
	record Unknown() implements OrderStatus {

		@Override
		public boolean isFinal() {
			return false;
		}

	}

}
