package io.verbenacleat.entry.budget;

import io.verbenacleat.proto.v1.ReserveRequest;

/**
 * Tokens reserved for one request. Immutable.
 *
 * @param requestId the request
 * @param account the account
 * @param callerId the caller
 * @param gateway the incarnation of the gateway that runs the request
 * @param tokens the reserved tokens, zero or more
 */
record Reservation(String requestId, String account, String callerId, String gateway, long tokens) {

	static Reservation of(ReserveRequest request, String callerId) {
		return new Reservation(request.getRequestId(), request.getAccount(), callerId, request.getGatewayIncarnation(),
				request.getTokens());
	}

}
