package io.verbenacleat.agent.order;

import io.verbenacleat.agent.queue.QueueTicket;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * Accepted order that has not ended: it runs or waits in the queue. Safe for use by
 * several threads, except the queue ticket and the queue listener, which only the control
 * thread may use.
 */
public final class ActiveOrder {

	private final ExecuteRequest request;

	private volatile long startedAtMs;

	private final Cancellation cancellation = new Cancellation();

	private @Nullable QueueTicket<ActiveOrder> ticket;

	private @Nullable QueueListener queueListener;

	ActiveOrder(ExecuteRequest request, long startedAtMs) {
		this.request = request;
		this.startedAtMs = startedAtMs;
	}

	ExecuteRequest request() {
		return this.request;
	}

	long startedAtMs() {
		return this.startedAtMs;
	}

	/**
	 * Sets the time at which the order started to run.
	 * @param nowMs the time in milliseconds since the epoch
	 */
	void setStartedAtMs(long nowMs) {
		this.startedAtMs = nowMs;
	}

	@Nullable
	QueueTicket<ActiveOrder> ticket() {
		return this.ticket;
	}

	void setTicket(QueueTicket<ActiveOrder> newTicket) {
		this.ticket = newTicket;
	}

	/**
	 * Returns whether the order waits in the queue.
	 * @return {@code true} until it starts or is withdrawn
	 */
	boolean isQueued() {
		QueueTicket<ActiveOrder> currentTicket = this.ticket;
		return currentTicket != null && currentTicket.waiting();
	}

	/**
	 * Sets the listener to call when the order leaves the queue.
	 * @param newListener the listener
	 */
	void setQueueListener(QueueListener newListener) {
		this.queueListener = newListener;
	}

	@Nullable
	QueueListener queueListener() {
		return this.queueListener;
	}

	Cancellation cancellation() {
		return this.cancellation;
	}

	/**
	 * Cancels the order if it is repeatable; a not-repeatable order runs to its end.
	 */
	void cancelIfRepeatable() {
		if (this.request.getRepeatable()) {
			this.cancellation.cancel();
		}
	}

	/**
	 * Returns whether a process is the gateway or the holder of the order.
	 * @param incarnation the incarnation of the process
	 * @return {@code true} when it is the gateway or the holder
	 */
	boolean belongsTo(String incarnation) {
		return this.request.getOrderId().getGatewayIncarnation().equals(incarnation)
				|| this.request.getHolderIncarnation().equals(incarnation);
	}

	/**
	 * Listener for the end of the wait of a queued order. One of its methods is called
	 * once, on the control thread.
	 */
	interface QueueListener {

		/**
		 * Called when the order may run.
		 */
		void onStart();

		/**
		 * Called when the order was withdrawn; it has not run and never will.
		 * @param reason the reason for the refusal
		 * @param detail a description of the reason
		 */
		void onWithdrawn(RefusalReason reason, String detail);

	}

}
