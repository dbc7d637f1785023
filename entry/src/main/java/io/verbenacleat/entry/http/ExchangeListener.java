package io.verbenacleat.entry.http;

import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.verbenacleat.entry.request.Refusal;
import io.verbenacleat.entry.request.RefusalCode;
import io.verbenacleat.entry.request.ResponseListener;
import io.verbenacleat.proto.v1.HttpHead;

/**
 * The base of the listeners that write an answer to an exchange: events that do not
 * belong to the kind of the request end the answer with an error.
 */
abstract class ExchangeListener implements ResponseListener {

	/** The exchange. */
	protected final Exchange exchange;

	ExchangeListener(Exchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void onAccepted() {
		// The status line waits for the first part, so that a refusal can still set it.
	}

	@Override
	public void onChatChunk(ByteString json) {
		throw new IllegalStateException("A chat chunk in the answer of a plain service");
	}

	@Override
	public void onHttpHead(HttpHead head) {
		throw new IllegalStateException("A response head in the answer of a chat completion");
	}

	@Override
	public void onHttpBody(ByteString body) {
		throw new IllegalStateException("A response body in the answer of a chat completion");
	}

	@Override
	public void onReplayed(HttpHead head, ByteString body) {
		throw new IllegalStateException("A stored response in the answer of a chat completion");
	}

	@Override
	public CompletionStage<Void> ready() {
		return this.exchange.ready();
	}

	@Override
	public void onRefused(Refusal refusal) {
		if (this.exchange.isStarted()) {
			this.exchange.finishEventsWith(refusal);
		}
		else {
			this.exchange.refuse(refusal);
		}
	}

	/**
	 * Returns the failure of an answer whose parts cannot be understood.
	 * @return the refusal
	 */
	protected static Refusal malformedAnswer() {
		return Refusal.unknown(RefusalCode.BACKEND_FAILED, "The backend server sent a part that is not JSON");
	}

}
