package io.verbenacleat.entry.request;

import com.google.protobuf.ByteString;
import io.verbenacleat.entry.claim.StoredResponse;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import org.jspecify.annotations.Nullable;

/**
 * Collects the response of a plain service for its claim, up to the size that is stored.
 * Used in the serial context of its request only.
 */
final class ResponseCollector {

	private @Nullable HttpHead head;

	private ByteString body = ByteString.EMPTY;

	private boolean storable = true;

	void add(ExecuteEvent event) {
		if (event.hasHttpHead()) {
			this.head = event.getHttpHead();
		}
		else if (event.hasHttpBody()) {
			addBody(event.getHttpBody());
		}
		else {
			this.storable = false;
		}
	}

	/**
	 * Returns the response.
	 * @param receipt the receipt at its end
	 * @return the response, or {@code null} when it is not whole, too large or not of a
	 * plain service
	 */
	@Nullable
	StoredResponse response(Receipt receipt) {
		HttpHead collected = this.head;
		boolean complete = this.storable && receipt.getStatus() == ReceiptStatus.COMPLETE;
		return (complete && collected != null) ? StoredResponse.of(collected, this.body) : null;
	}

	/**
	 * Returns the response that an agent kept.
	 * @param resolved the answer of the agent
	 * @return the response, or {@code null} when it is not whole, too large or not kept
	 */
	static @Nullable StoredResponse resolvedResponse(ResolveOrderResponse resolved) {
		boolean complete = resolved.hasHttpHead() && resolved.getReceipt().getStatus() == ReceiptStatus.COMPLETE;
		boolean storable = complete && resolved.getHttpBody().size() <= StoredResponse.MAX_BODY_BYTES;
		return (storable) ? StoredResponse.of(resolved.getHttpHead(), resolved.getHttpBody()) : null;
	}

	private void addBody(ByteString piece) {
		if (this.body.size() + piece.size() > StoredResponse.MAX_BODY_BYTES) {
			this.storable = false;
			this.body = ByteString.EMPTY;
		}
		else if (this.storable) {
			this.body = this.body.concat(piece);
		}
	}

}
