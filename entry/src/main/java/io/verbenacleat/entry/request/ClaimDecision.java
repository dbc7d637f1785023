package io.verbenacleat.entry.request;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;

/**
 * How a request that may not be repeated continues after the attempt to claim its
 * idempotency key. Immutable.
 */
sealed interface ClaimDecision {

	/**
	 * Send the order of the claim.
	 *
	 * @param claim the claim, which names the agent and the order
	 */
	record Dispatch(HeldClaim claim) implements ClaimDecision {
	}

	/**
	 * Replay the response of the first request with the same idempotency key.
	 *
	 * @param head status and headers
	 * @param body the complete body
	 */
	record Replay(HttpHead head, ByteString body) implements ClaimDecision {
	}

	/**
	 * Refuse the request.
	 *
	 * @param refusal the refusal for the caller
	 */
	record Refuse(Refusal refusal) implements ClaimDecision {
	}

}
