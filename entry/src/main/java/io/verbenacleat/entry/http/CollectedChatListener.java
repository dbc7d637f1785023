package io.verbenacleat.entry.http;

import java.io.IOException;

import com.google.protobuf.ByteString;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.entry.request.Refusal;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;

/**
 * Merges the chunks of a chat completion and sends them as one response. Not safe for use
 * by several threads.
 */
final class CollectedChatListener extends ExchangeListener {

	private final ChunkCollector collector = new ChunkCollector();

	private boolean readable = true;

	CollectedChatListener(Exchange exchange) {
		super(exchange);
	}

	@Override
	public void onChatChunk(ByteString json) {
		try {
			this.collector.add(Json.mapper().readTree(json.newInput()));
		}
		catch (IOException ex) {
			this.readable = false;
		}
	}

	@Override
	public void onFinished(Receipt receipt) {
		if (!this.readable) {
			Refusal refusal = malformedAnswer();
			this.exchange.refuse(refusal);
			return;
		}
		String finishReason = (receipt.getStatus() == ReceiptStatus.CUT) ? "length" : "stop";
		this.exchange.send(200, "application/json", Exchange.bytes(this.collector.toCompletion(finishReason)));
	}

}
