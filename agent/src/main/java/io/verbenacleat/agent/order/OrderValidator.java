package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.OrderId;
import org.jspecify.annotations.Nullable;

/**
 * Validates the fields of orders. Stateless.
 */
final class OrderValidator {

	private static final long MAX_TIMEOUT_MS = 24 * 60 * 60 * 1_000L;

	private OrderValidator() {
	}

	/**
	 * Returns the first validation error of an order.
	 * @param request the order
	 * @return a description of the error, or {@code null} when the order is valid
	 */
	static @Nullable String findError(ExecuteRequest request) {
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
		if (request.getTimeoutMs() < 1 || request.getTimeoutMs() > MAX_TIMEOUT_MS) {
			return "timeout_ms must be from 1 to " + MAX_TIMEOUT_MS;
		}
		return findWorkError(request);
	}

	private static @Nullable String findWorkError(ExecuteRequest request) {
		if (request.hasChat()) {
			long prompt = request.getChat().getPromptBoundTokens();
			long answer = request.getChat().getAnswerBoundTokens();
			boolean valid = prompt > 0 && answer > 0 && prompt <= request.getReservedTokens()
					&& answer <= request.getReservedTokens() - prompt;
			return (valid) ? null : "a chat order needs a prompt bound and an answer bound that are reserved";
		}
		if (request.hasHttp()) {
			long price = request.getHttp().getPriceTokens();
			boolean valid = !request.getHttp().getMethod().isEmpty()
					&& request.getHttp().getPathAndQuery().startsWith("/") && price >= 0
					&& price <= request.getReservedTokens();
			return (valid) ? null : "a service order needs a method, a path from / and a price that is reserved";
		}
		return "the order has no work";
	}

}
