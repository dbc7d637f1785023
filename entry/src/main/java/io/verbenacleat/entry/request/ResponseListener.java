package io.verbenacleat.entry.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.Receipt;

/**
 * Receives the response to one request. The methods are called one at a time, in the
 * order of the response, and must not block. Exactly one of {@link #onFinished},
 * {@link #onReplayed} and {@link #onRefused} is called last, unless the caller
 * disconnects before.
 */
public interface ResponseListener {

	/**
	 * Called when an agent has accepted the order.
	 */
	void onAccepted();

	/**
	 * Called with the next chunk of a chat completion stream.
	 * @param json one JSON object
	 */
	void onChatChunk(ByteString json);

	/**
	 * Called with the status and headers of the response of a plain service.
	 * @param head the status and headers
	 */
	void onHttpHead(HttpHead head);

	/**
	 * Called with the next part of the response body of a plain service.
	 * @param body the part
	 */
	void onHttpBody(ByteString body);

	/**
	 * Called when the response is complete and the holder has acknowledged the receipt.
	 * @param receipt the receipt, of status COMPLETE or CUT
	 */
	void onFinished(Receipt receipt);

	/**
	 * Called with the stored response of an earlier request with the same idempotency
	 * key.
	 * @param head the status and headers
	 * @param body the complete body
	 */
	void onReplayed(HttpHead head, ByteString body);

	/**
	 * Called when the request ends without a complete response, possibly after some
	 * parts.
	 * @param refusal the reason
	 */
	void onRefused(Refusal refusal);

	/**
	 * Returns a stage that completes when the listener can receive the next part. Called
	 * after each part; until the stage completes, no more of the response is read from
	 * the agent.
	 * @return the stage, which may complete on any thread; completed by default
	 */
	default CompletionStage<Void> ready() {
		return CompletableFuture.completedFuture(null);
	}

}
