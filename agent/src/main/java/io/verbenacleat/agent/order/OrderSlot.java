package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.OrderState;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import org.jspecify.annotations.Nullable;

/**
 * State of one order in the {@link OrderHistory}. Immutable.
 */
sealed interface OrderSlot {

	/** The shared slot of all orders that never started and never will. */
	OrderSlot TOMBSTONE = new Tombstone();

	/**
	 * Returns the size of the response that the slot retains.
	 * @return the size in bytes, 0 without a response
	 */
	default int retainedBytes() {
		return 0;
	}

	/**
	 * The order never started and never will.
	 */
	record Tombstone() implements OrderSlot {
	}

	/**
	 * The order runs or waits.
	 *
	 * @param order the order
	 */
	record Active(ActiveOrder order) implements OrderSlot {
	}

	/**
	 * The order ended.
	 *
	 * @param receipt the receipt
	 * @param response the complete response of a not-repeatable call, or {@code null}
	 * when none is retained
	 */
	record Finished(Receipt receipt, @Nullable RetainedResponse response) implements OrderSlot {

		/**
		 * Returns the response to {@code ResolveOrder}.
		 * @return the receipt and the retained response
		 */
		ResolveOrderResponse toResponse() {
			ResolveOrderResponse.Builder builder = ResolveOrderResponse.newBuilder()
				.setState(OrderState.FINISHED)
				.setReceipt(this.receipt);
			if (this.response != null) {
				builder.setHttpHead(this.response.head()).setHttpBody(this.response.body());
			}
			return builder.build();
		}

		@Override
		public int retainedBytes() {
			return (this.response != null) ? this.response.head().getSerializedSize() + this.response.body().size() : 0;
		}

	}

}
