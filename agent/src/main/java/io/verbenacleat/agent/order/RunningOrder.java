package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.ExecuteRequest;

/**
 * An order that was accepted and has not ended. Safe for use by several threads.
 */
final class RunningOrder {

	private final ExecuteRequest request;

	private final long startedAtMs;

	private final Cancellation cancellation = new Cancellation();

	RunningOrder(ExecuteRequest request, long startedAtMs) {
		this.request = request;
		this.startedAtMs = startedAtMs;
	}

	ExecuteRequest request() {
		return this.request;
	}

	long startedAtMs() {
		return this.startedAtMs;
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

}
