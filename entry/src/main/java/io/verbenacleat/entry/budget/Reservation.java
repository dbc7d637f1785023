package io.verbenacleat.entry.budget;

import io.verbenacleat.proto.v1.ReserveRequest;

/**
 * Tokens set aside for one request. Immutable.
 *
 * @param requestId the request
 * @param account the account
 * @param callerId the caller
 * @param gateway the gateway incarnation
 * @param tokens the reserved tokens
 */
record Reservation(String requestId, String account, String callerId, String gateway, long tokens) {

	static Reservation of(ReserveRequest request, String callerId) {
		return new Reservation(request.getRequestId(), request.getAccount(), callerId, request.getGatewayIncarnation(),
				request.getTokens());
	}

}
