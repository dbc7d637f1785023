package io.verbenacleat.entry.http;

import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.verbenacleat.entry.request.Refusal;
import io.verbenacleat.entry.request.RefusalCode;
import io.verbenacleat.entry.request.ResponseListener;
import io.verbenacleat.proto.v1.HttpHead;

/**
 * Base class of the listeners that write the response to an exchange. Events that do not
 * belong to the kind of the request throw an exception, unless a subclass handles them.
 */
abstract class ExchangeListener implements ResponseListener {

	/** The exchange that the response is written to. */
	protected final Exchange exchange;

	ExchangeListener(Exchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void onAccepted() {
		// The status is sent with the first part, so that a refusal can still set it.
	}

	@Override
	public void onChatChunk(ByteString json) {
		throw new IllegalStateException("Unexpected chat chunk in the response of a plain service");
	}

	@Override
	public void onHttpHead(HttpHead head) {
		throw new IllegalStateException("Unexpected HTTP head in the response of a chat completion");
	}

	@Override
	public void onHttpBody(ByteString body) {
		throw new IllegalStateException("Unexpected HTTP body in the response of a chat completion");
	}

	@Override
	public void onReplayed(HttpHead head, ByteString body) {
		throw new IllegalStateException("Unexpected stored response for a chat completion");
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
	 * Returns the refusal for a response that cannot be parsed.
	 * @return the refusal
	 */
	protected static Refusal malformedAnswer() {
		return Refusal.unknown(RefusalCode.BACKEND_FAILED, "The backend server sent a part that is not JSON");
	}

}
