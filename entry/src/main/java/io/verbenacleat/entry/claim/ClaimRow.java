package io.verbenacleat.entry.claim;

import io.verbenacleat.core.member.Member;
import io.verbenacleat.proto.v1.OrderId;
import org.jspecify.annotations.Nullable;

/**
 * The row {@code claim/<account>/<hash>}, which records the request that owns an
 * idempotency key and its only order. Immutable.
 *
 * @param requestId the request id
 * @param fingerprint the SHA-256 of method, path and body, lower-case hex
 * @param gateway the gateway incarnation of the order
 * @param sequence the sequence number of the order
 * @param agent the agent of the order as a complete member, so that a lost agent can be
 * identified after its removal from the membership
 * @param state the state of the claim
 * @param response the response of a claim in state DONE, {@code null} if it is not stored
 */
public record ClaimRow(String requestId, String fingerprint, String gateway, long sequence, Member agent, State state,
		@Nullable StoredResponse response) {

	/**
	 * Returns a new claim.
	 * @param requestId the request id
	 * @param fingerprint the fingerprint of the request
	 * @param orderId the order id
	 * @param agent the agent of the order
	 * @return the claim, in state CLAIMED
	 */
	public static ClaimRow claimed(String requestId, String fingerprint, OrderId orderId, Member agent) {
		return new ClaimRow(requestId, fingerprint, orderId.getGatewayIncarnation(), orderId.getSequence(), agent,
				State.CLAIMED, null);
	}

	/**
	 * Returns a copy of this claim in another state.
	 * @param newState the state
	 * @param newResponse the response, or {@code null} if it is not stored
	 * @return the copy
	 */
	public ClaimRow withState(State newState, @Nullable StoredResponse newResponse) {
		return new ClaimRow(this.requestId, this.fingerprint, this.gateway, this.sequence, this.agent, newState,
				newResponse);
	}

	/**
	 * Returns the order of this claim.
	 * @return the order id
	 */
	public OrderId orderId() {
		return OrderId.newBuilder()
			.setGatewayIncarnation(this.gateway)
			.setAgentIncarnation(this.agent.incarnation())
			.setSequence(this.sequence)
			.build();
	}

	/**
	 * Returns whether another row was written for the same order.
	 * @param other the other row
	 * @return {@code true} if request and order are equal
	 */
	public boolean isSameOrder(ClaimRow other) {
		return this.requestId.equals(other.requestId) && orderId().equals(other.orderId());
	}

	/**
	 * The state of a claim.
	 */
	public enum State {

		/** The order may be run. */
		CLAIMED,

		/** The order was run and must never be run again. */
		DONE,

		/** The order was not and will never be run; the key may be claimed again. */
		RELEASED

	}

}
