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
 * Collects the response of a plain service so that it can be stored with the claim of the
 * request. Responses above the size limit are not collected. Not thread-safe; confined to
 * the synchronization context of its request.
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
	 * Returns the collected response.
	 * @param receipt the receipt at the end of the response
	 * @return the response, or {@code null} if it is incomplete, too large or not of a
	 * plain service
	 */
	@Nullable
	StoredResponse response(Receipt receipt) {
		HttpHead collected = this.head;
		boolean complete = this.storable && receipt.getStatus() == ReceiptStatus.COMPLETE;
		return (complete && collected != null) ? StoredResponse.of(collected, this.body) : null;
	}

	/**
	 * Returns the response that an agent has kept with the outcome of an order.
	 * @param resolved the reply of the agent to a query for the order
	 * @return the response, or {@code null} if it is incomplete, too large or not kept
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
