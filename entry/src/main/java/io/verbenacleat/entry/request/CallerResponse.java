package io.verbenacleat.entry.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.verbenacleat.entry.dispatch.RunMetrics;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.Receipt;

/**
 * The response to one caller. Forwards its parts to the listener until the response has
 * ended or the caller has disconnected, and reports one end at most. Not thread-safe;
 * confined to the synchronization context of its request.
 */
final class CallerResponse {

	private final ResponseListener listener;

	private final RunMetrics metrics;

	private final Runnable onEnded;

	private boolean accepted;

	private boolean closed;

	private long chatChunks;

	CallerResponse(ResponseListener listener, RunMetrics metrics, Runnable onEnded) {
		this.listener = listener;
		this.metrics = metrics;
		this.onEnded = onEnded;
	}

	boolean isClosed() {
		return this.closed;
	}

	/**
	 * Returns the number of chat completion chunks that were forwarded to the caller.
	 * @return the count, zero or more
	 */
	long chatChunks() {
		return this.chatChunks;
	}

	void accept() {
		if (!this.closed && !this.accepted) {
			this.accepted = true;
			this.listener.onAccepted();
		}
	}

	CompletionStage<Void> forward(ExecuteEvent event) {
		if (this.closed) {
			return CompletableFuture.completedFuture(null);
		}
		switch (event.getEventCase()) {
			case CHAT_CHUNK -> {
				this.chatChunks++;
				this.listener.onChatChunk(event.getChatChunk());
			}
			case HTTP_HEAD -> this.listener.onHttpHead(event.getHttpHead());
			default -> this.listener.onHttpBody(event.getHttpBody());
		}
		return this.listener.ready();
	}

	void finish(Receipt receipt) {
		if (!this.closed) {
			markClosed();
			this.listener.onFinished(receipt);
		}
	}

	void replay(HttpHead head, ByteString body) {
		if (!this.closed) {
			markClosed();
			this.listener.onReplayed(head, body);
		}
	}

	void refuse(Refusal refusal) {
		if (!this.closed) {
			markClosed();
			this.metrics.refused(refusal.code().code());
			this.listener.onRefused(refusal);
		}
	}

	/**
	 * Closes the response without a further event, as the caller has disconnected.
	 */
	void close() {
		this.closed = true;
	}

	private void markClosed() {
		this.closed = true;
		this.onEnded.run();
	}

}
