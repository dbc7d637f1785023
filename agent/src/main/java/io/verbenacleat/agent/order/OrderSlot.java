package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.OrderState;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import org.jspecify.annotations.Nullable;

/**
 * What the order table knows of one order. Immutable.
 */
sealed interface OrderSlot {

	/** The slot of an order that never started and never will. */
	OrderSlot TOMBSTONE = new Tombstone();

	/**
	 * Returns how much of a kept response the slot holds.
	 * @return the size in bytes, 0 without a response
	 */
	default int keptBytes() {
		return 0;
	}

	/**
	 * The order never started and never will.
	 */
	record Tombstone() implements OrderSlot {
	}

	/**
	 * The order runs.
	 *
	 * @param order the order
	 */
	record Running(ActiveOrder order) implements OrderSlot {
	}

	/**
	 * The order ended.
	 *
	 * @param receipt the bill
	 * @param response the whole response of a not-repeatable call, or {@code null}
	 */
	record Finished(Receipt receipt, @Nullable KeptResponse response) implements OrderSlot {

		/**
		 * Returns the answer to {@code ResolveOrder}.
		 * @return the receipt and the kept response
		 */
		ResolveOrderResponse report() {
			ResolveOrderResponse.Builder builder = ResolveOrderResponse.newBuilder()
				.setState(OrderState.FINISHED)
				.setReceipt(this.receipt);
			if (this.response != null) {
				builder.setHttpHead(this.response.head()).setHttpBody(this.response.body());
			}
			return builder.build();
		}

		@Override
		public int keptBytes() {
			return (this.response != null) ? this.response.head().getSerializedSize() + this.response.body().size() : 0;
		}

	}

}
