package io.verbenacleat.entry.http;

import java.util.Iterator;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.verbenacleat.core.json.Json;

/**
 * Merges the chunks of a chat completion stream into one completion: strings of the
 * deltas are concatenated, and tool calls are merged by index. Not safe for use by
 * several threads.
 */
final class ChunkCollector {

	private final ObjectNode completion = Json.mapper().createObjectNode();

	private final ObjectNode message = Json.mapper().createObjectNode();

	/** The content; appending to a JSON node would copy it with each chunk. */
	private final StringBuilder content = new StringBuilder();

	private final ArrayNode logprobs = Json.mapper().createArrayNode();

	private String finishReason = "";

	ChunkCollector() {
		this.message.put("role", "assistant");
		this.message.put("content", "");
	}

	/**
	 * Adds a chunk.
	 * @param chunk the chunk; its content is removed
	 */
	void add(JsonNode chunk) {
		for (String name : new String[] { "id", "created", "model", "system_fingerprint", "usage" }) {
			if (chunk.hasNonNull(name)) {
				this.completion.set(name, chunk.get(name));
			}
		}
		JsonNode choice = chunk.path("choices").path(0);
		if (choice.path("delta") instanceof ObjectNode delta && delta.path("content").isTextual()) {
			this.content.append(delta.remove("content").textValue());
		}
		mergeObject(this.message, choice.path("delta"));
		choice.path("logprobs").path("content").forEach(this.logprobs::add);
		if (choice.hasNonNull("finish_reason")) {
			this.finishReason = choice.get("finish_reason").asText();
		}
	}

	/**
	 * Returns the merged completion.
	 * @param defaultFinishReason the finish reason if no chunk contained one
	 * @return the completion
	 */
	ObjectNode toCompletion(String defaultFinishReason) {
		ObjectNode choice = Json.mapper().createObjectNode();
		this.message.put("content", this.content.toString());
		choice.put("index", 0);
		choice.set("message", this.message);
		choice.set("logprobs",
				(this.logprobs.isEmpty()) ? null : Json.mapper().createObjectNode().set("content", this.logprobs));
		choice.put("finish_reason", (this.finishReason.isEmpty()) ? defaultFinishReason : this.finishReason);
		this.completion.put("object", "chat.completion");
		this.completion.putArray("choices").add(choice);
		return this.completion;
	}

	private static void mergeObject(ObjectNode target, JsonNode delta) {
		Iterator<Map.Entry<String, JsonNode>> fields = delta.fields();
		while (fields.hasNext()) {
			Map.Entry<String, JsonNode> field = fields.next();
			mergeField(target, field.getKey(), field.getValue());
		}
	}

	private static void mergeField(ObjectNode target, String name, JsonNode value) {
		JsonNode current = target.path(name);
		if (value.isNull()) {
			return;
		}
		if (value.isArray()) {
			ArrayNode array = (current.isArray()) ? (ArrayNode) current : target.putArray(name);
			value.forEach((element) -> mergeElement(array, element));
		}
		else if (value.isObject()) {
			ObjectNode object = (current.isObject()) ? (ObjectNode) current : target.putObject(name);
			mergeObject(object, value);
		}
		else if (value.isTextual() && current.isTextual() && isConcatenated(name)) {
			target.put(name, current.asText() + value.asText());
		}
		else {
			target.set(name, value);
		}
	}

	private static boolean isConcatenated(String name) {
		return !name.equals("role") && !name.equals("id") && !name.equals("type");
	}

	private static void mergeElement(ArrayNode array, JsonNode element) {
		if (!element.isObject() || !element.has("index")) {
			array.add(element);
			return;
		}
		ObjectNode target = null;
		for (JsonNode existing : array) {
			if (existing.path("index").equals(element.path("index"))) {
				target = (ObjectNode) existing;
			}
		}
		mergeObject((target != null) ? target : array.addObject(), element);
	}

}
