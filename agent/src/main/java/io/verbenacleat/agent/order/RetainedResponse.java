package io.verbenacleat.agent.order;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;

/**
 * Complete response to a not-repeatable call, retained for {@code ResolveOrder}.
 * Immutable.
 *
 * @param head the status and headers
 * @param body the complete body
 */
record RetainedResponse(HttpHead head, ByteString body) {

	/** The maximum size of head and body together; a larger response is not retained. */
	static final int MAX_BYTES = 64 * 1024;

}
