package io.verbenacleat.agent.order;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;
import org.jspecify.annotations.Nullable;

/**
 * Collects the response of a not-repeatable call up to the size that is kept. Not safe
 * for use by several threads.
 */
final class ResponseKeeper {

	private @Nullable HttpHead head;

	private ByteString body = ByteString.EMPTY;

	private boolean tooLarge;

	void head(HttpHead newHead) {
		this.head = newHead;
		check(newHead, 0);
	}

	void body(ByteString piece) {
		HttpHead present = this.head;
		if (present != null && check(present, piece.size())) {
			this.body = this.body.concat(piece);
		}
	}

	/**
	 * Returns the whole response.
	 * @return the response, or {@code null} when there was none or it was too large
	 */
	@Nullable
	KeptResponse kept() {
		HttpHead present = this.head;
		return (present == null || this.tooLarge) ? null : new KeptResponse(present, this.body);
	}

	private boolean check(HttpHead present, int more) {
		if (present.getSerializedSize() + this.body.size() + more > KeptResponse.MAX_BYTES) {
			this.tooLarge = true;
			this.body = ByteString.EMPTY;
		}
		return !this.tooLarge;
	}

}
