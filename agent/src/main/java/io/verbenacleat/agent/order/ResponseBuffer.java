package io.verbenacleat.agent.order;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;
import org.jspecify.annotations.Nullable;

/**
 * Buffers the response of a not-repeatable call up to {@link RetainedResponse#MAX_BYTES}.
 * Not safe for use by several threads.
 */
final class ResponseBuffer {

	private @Nullable HttpHead head;

	private ByteString body = ByteString.EMPTY;

	private boolean tooLarge;

	void head(HttpHead newHead) {
		this.head = newHead;
		checkSize(newHead, 0);
	}

	void body(ByteString piece) {
		HttpHead responseHead = this.head;
		if (responseHead != null && checkSize(responseHead, piece.size())) {
			this.body = this.body.concat(piece);
		}
	}

	/**
	 * Returns the complete response.
	 * @return the response, or {@code null} when there is none or it is too large
	 */
	@Nullable
	RetainedResponse response() {
		HttpHead responseHead = this.head;
		return (responseHead == null || this.tooLarge) ? null : new RetainedResponse(responseHead, this.body);
	}

	private boolean checkSize(HttpHead responseHead, int additionalBytes) {
		if (responseHead.getSerializedSize() + this.body.size() + additionalBytes > RetainedResponse.MAX_BYTES) {
			this.tooLarge = true;
			this.body = ByteString.EMPTY;
		}
		return !this.tooLarge;
	}

}
