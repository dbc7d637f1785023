package io.verbenacleat.entry.http;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import org.jspecify.annotations.Nullable;

/**
 * Writes a chat completion as server-sent events. The event {@code [DONE]} is sent only
 * after a complete response. Not safe for use by several threads.
 */
final class StreamedChatListener extends ExchangeListener {

	private static final String MEDIA_TYPE = "text/event-stream;charset=utf-8";

	private static final String DONE = "[DONE]";

	private final boolean includeUsage;

	private @Nullable JsonNode lastChunk;

	private @Nullable JsonNode usage;

	private boolean finishReasonSeen;

	private boolean readable = true;

	StreamedChatListener(Exchange exchange, boolean includeUsage) {
		super(exchange);
		this.includeUsage = includeUsage;
	}

	@Override
	public void onChatChunk(ByteString json) {
		JsonNode chunk;
		try {
			chunk = Json.mapper().readTree(json.newInput());
		}
		catch (IOException ex) {
			chunk = Json.mapper().missingNode();
		}
		if (!(chunk instanceof ObjectNode object)) {
			this.readable = false;
			return;
		}
		if (object.hasNonNull("usage")) {
			this.usage = object.get("usage");
		}
		object.remove("usage");
		if (object.path("choices").isEmpty()) {
			return;
		}
		this.finishReasonSeen |= object.path("choices").path(0).hasNonNull("finish_reason");
		this.lastChunk = object;
		startIfNeeded();
		this.exchange.writeEvent(Json.write(object));
	}

	@Override
	public void onFinished(Receipt receipt) {
		if (!this.readable) {
			onRefused(malformedAnswer());
			return;
		}
		startIfNeeded();
		if (receipt.getStatus() == ReceiptStatus.CUT && !this.finishReasonSeen) {
			this.exchange.writeEvent(Json.write(closingChunk()));
		}
		if (this.includeUsage && this.usage != null) {
			this.exchange.writeEvent(Json.write(usageChunk(this.usage)));
		}
		this.exchange.writeEvent(DONE);
		this.exchange.finish();
	}

	private void startIfNeeded() {
		if (!this.exchange.isStarted()) {
			this.exchange.header("Cache-Control", "no-cache");
			this.exchange.start(200, MEDIA_TYPE);
		}
	}

	private ObjectNode closingChunk() {
		ObjectNode chunk = emptyChunk();
		ObjectNode choice = chunk.putArray("choices").addObject();
		choice.put("index", 0);
		choice.putObject("delta");
		choice.put("finish_reason", "length");
		return chunk;
	}

	private ObjectNode usageChunk(JsonNode value) {
		ObjectNode chunk = emptyChunk();
		chunk.putArray("choices");
		chunk.set("usage", value);
		return chunk;
	}

	private ObjectNode emptyChunk() {
		ObjectNode chunk = Json.mapper().createObjectNode();
		if (this.lastChunk != null) {
			for (String name : new String[] { "id", "created", "model" }) {
				chunk.set(name, this.lastChunk.path(name));
			}
		}
		chunk.put("object", "chat.completion.chunk");
		return chunk;
	}

}
