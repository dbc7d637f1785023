package io.verbenacleat.agent.order;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;

/**
 * The whole response to a not-repeatable call, kept for {@code ResolveOrder}. Immutable.
 *
 * @param head the head
 * @param body the whole body
 */
record RetainedResponse(HttpHead head, ByteString body) {

	/** The largest response that is kept, head and body; a larger one is not kept. */
	static final int MAX_BYTES = 64 * 1024;

}
