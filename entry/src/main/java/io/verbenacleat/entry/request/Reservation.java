package io.verbenacleat.entry.request;

import io.verbenacleat.core.member.Member;
import io.verbenacleat.entry.budget.RoutedReservation;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.OrderId;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.ReserveResponse;

/**
 * A request with its granted reservation. Creates the orders of the request and the
 * receipt for a lost agent. Immutable.
 *
 * @param request the request
 * @param routed the grant, with the address of its holder
 */
record Reservation(CallerRequest request, RoutedReservation routed) {

	/**
	 * Returns the order for an agent.
	 * @param orderId the order id
	 * @param timeoutMs the timeout of the order in milliseconds, positive
	 * @param resolvedThrough the sequence number up to which all orders of this gateway
	 * to the agent are resolved
	 * @return the order
	 */
	ExecuteRequest order(OrderId orderId, long timeoutMs, long resolvedThrough) {
		ReserveResponse grant = this.routed.response();
		ExecuteRequest.Builder order = ExecuteRequest.newBuilder()
			.setOrderId(orderId)
			.setRequestId(this.request.requestId())
			.setAccount(this.request.key().accountId())
			.setCallerId(grant.getCallerId())
			.setWorkspace(grant.getWorkspace())
			.setHolderIncarnation(grant.getHolderIncarnation())
			.setHolderAddress(this.routed.holderAddress())
			.setReservedTokens(this.request.reserveTokens())
			.setRepeatable(this.request.repeatable())
			.setPriority(grant.getPriority())
			.setTimeoutMs(timeoutMs)
			.setResolvedThrough(resolvedThrough);
		if (this.request.chat() != null) {
			order.setChat(this.request.chat());
		}
		if (this.request.http() != null) {
			order.setHttp(this.request.http());
		}
		return order.build();
	}

	/**
	 * Returns the receipt of an order whose agent is lost. The delivered chunks are
	 * billed with one token each, and the rest of the reservation is held.
	 * @param orderId the order
	 * @param agent the lost agent
	 * @param deliveredTokens the number of chunks that were delivered to the caller
	 * @param startedAtMs the time when the order was sent, in milliseconds of the epoch
	 * @param nowMs the current time, in milliseconds of the epoch
	 * @return the receipt, of status TAKEN_OVER
	 */
	Receipt takeoverReceipt(OrderId orderId, Member agent, long deliveredTokens, long startedAtMs, long nowMs) {
		long billedTokens = Math.min(deliveredTokens, this.request.reserveTokens());
		String server = agent.backendServer();
		return Receipt.newBuilder()
			.setRequestId(this.request.requestId())
			.setOrderId(orderId)
			.setAccount(this.request.key().accountId())
			.setCallerId(this.routed.response().getCallerId())
			.setHolderIncarnation(this.routed.response().getHolderIncarnation())
			.setBackendServer((server != null) ? server : "")
			.setTarget(WorkTargets.of(this.request).name())
			.setAnswerTokens(deliveredTokens)
			.setBilledTokens(billedTokens)
			.setHeldTokens(this.request.reserveTokens() - billedTokens)
			.setStatus(ReceiptStatus.TAKEN_OVER)
			.setStartedAtMs(startedAtMs)
			.setFinishedAtMs(nowMs)
			.build();
	}

}
