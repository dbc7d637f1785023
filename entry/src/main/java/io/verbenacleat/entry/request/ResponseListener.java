package io.verbenacleat.entry.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.Receipt;

/**
 * Takes the answer of one request. The methods are called one at a time, in the order of
 * the answer; exactly one of {@link #onFinished}, {@link #onReplayed} and
 * {@link #onRefused} ends it.
 */
public interface ResponseListener {

	/**
	 * An agent has taken the order.
	 */
	void onAccepted();

	/**
	 * The next chunk of a chat completion stream.
	 * @param json one JSON object
	 */
	void onChatChunk(ByteString json);

	/**
	 * Status and headers of a plain service.
	 * @param head the head
	 */
	void onHttpHead(HttpHead head);

	/**
	 * The next piece of the body of a plain service.
	 * @param body the piece
	 */
	void onHttpBody(ByteString body);

	/**
	 * The answer is whole, and the holder knows the receipt.
	 * @param receipt the receipt, of status COMPLETE or CUT
	 */
	void onFinished(Receipt receipt);

	/**
	 * The answer of an earlier request with the same Idempotency-Key.
	 * @param head status and headers
	 * @param body the whole body
	 */
	void onReplayed(HttpHead head, ByteString body);

	/**
	 * The request got no whole answer; parts may have come before.
	 * @param refusal why
	 */
	void onRefused(Refusal refusal);

	/**
	 * Returns when the listener can take the next part; asked after each part. Until then
	 * no more of the answer is read from the agent. The methods of a listener never
	 * block.
	 * @return completes when the next part may come, on any thread; completed by default
	 */
	default CompletionStage<Void> ready() {
		return CompletableFuture.completedFuture(null);
	}

}
