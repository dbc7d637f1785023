package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.OrderId;
import org.jspecify.annotations.Nullable;

/**
 * Checks the form of orders. Stateless.
 */
final class OrderForm {

	private OrderForm() {
	}

	/**
	 * Finds what is wrong with the form of an order.
	 * @param request the order
	 * @return the fault in words, or {@code null} when there is none
	 */
	static @Nullable String faultOf(ExecuteRequest request) {
		OrderId id = request.getOrderId();
		if (id.getGatewayIncarnation().isEmpty() || id.getSequence() < 1) {
			return "the order id needs a gateway and a sequence from 1";
		}
		if (request.getResolvedThrough() < 0 || request.getResolvedThrough() >= id.getSequence()) {
			return "resolved_through must be from 0 and below the sequence";
		}
		if (request.getRequestId().isEmpty() || request.getAccount().isEmpty()
				|| request.getHolderIncarnation().isEmpty() || request.getHolderAddress().isEmpty()) {
			return "request_id, account, holder_incarnation or holder_address is missing";
		}
		if (request.getTimeoutMs() < 1) {
			return "timeout_ms must be 1 or more";
		}
		return faultOfWork(request);
	}

	private static @Nullable String faultOfWork(ExecuteRequest request) {
		if (request.hasChat()) {
			boolean bounded = request.getChat().getPromptBoundTokens() > 0
					&& request.getChat().getAnswerBoundTokens() > 0;
			return (bounded) ? null : "a chat order needs a prompt bound and an answer bound";
		}
		if (request.hasHttp()) {
			boolean whole = !request.getHttp().getMethod().isEmpty()
					&& request.getHttp().getPathAndQuery().startsWith("/") && request.getHttp().getPriceTokens() >= 0;
			return (whole) ? null : "a service order needs a method, a path from / and a price from 0";
		}
		return "the order has no work";
	}

}
