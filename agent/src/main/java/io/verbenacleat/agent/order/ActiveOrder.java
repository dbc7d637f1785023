package io.verbenacleat.agent.order;

import io.verbenacleat.agent.queue.QueueTicket;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * An order that was accepted and has not ended: it runs or waits for the backend server.
 * Safe for use by several threads, except the place in the queue, which belongs to the
 * control thread.
 */
public final class ActiveOrder {

	private final ExecuteRequest request;

	private volatile long startedAtMs;

	private final Cancellation cancellation = new Cancellation();

	private @Nullable QueueTicket<ActiveOrder> ticket;

	private @Nullable Waiter waiter;

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
	 * Sets when the order started to run.
	 * @param nowMs the time in milliseconds since the epoch
	 */
	void startedAt(long nowMs) {
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
	 * Returns whether the order waits and has not run.
	 * @return {@code true} until it starts or leaves the queue
	 */
	boolean queued() {
		QueueTicket<ActiveOrder> place = this.ticket;
		return place != null && place.waiting();
	}

	/**
	 * Sets who is told when the order leaves the queue.
	 * @param newWaiter the owner of the stream of the order
	 */
	void setWaiter(Waiter newWaiter) {
		this.waiter = newWaiter;
	}

	@Nullable
	Waiter waiter() {
		return this.waiter;
	}

	Cancellation cancellation() {
		return this.cancellation;
	}

	/**
	 * Stops the order when it may be stopped; a not-repeatable one runs on.
	 */
	void cancelIfRepeatable() {
		if (this.request.getRepeatable()) {
			this.cancellation.cancel();
		}
	}

	/**
	 * Returns whether the order concerns a process.
	 * @param incarnation the process
	 * @return {@code true} when it is the gateway or the holder
	 */
	boolean concerns(String incarnation) {
		return this.request.getOrderId().getGatewayIncarnation().equals(incarnation)
				|| this.request.getHolderIncarnation().equals(incarnation);
	}

	/**
	 * Is told once when a queued order leaves the queue. Called on the control thread.
	 */
	interface Waiter {

		/**
		 * The order runs now.
		 */
		void start();

		/**
		 * The order was withdrawn: it has not run and never will.
		 * @param reason the reason
		 * @param detail the reason in words
		 */
		void withdrawn(RefusalReason reason, String detail);

	}

}
