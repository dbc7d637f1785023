package io.verbenacleat.entry.request;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;

/**
 * What to do with a request that may not be repeated. Immutable.
 */
sealed interface ClaimDecision {

	/**
	 * Send the order of the claim.
	 *
	 * @param claim the claim, with agent and order
	 */
	record Dispatch(HeldClaim claim) implements ClaimDecision {
	}

	/**
	 * Answer with the response of the first request.
	 *
	 * @param head status and headers
	 * @param body the body
	 */
	record Replay(HttpHead head, ByteString body) implements ClaimDecision {
	}

	/**
	 * Refuse the request.
	 *
	 * @param refusal why
	 */
	record Refuse(Refusal refusal) implements ClaimDecision {
	}

}
