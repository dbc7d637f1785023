package io.verbenacleat.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.verbenacleat.core.json.Json;
import org.jspecify.annotations.Nullable;

/**
 * Builds the JSON texts that answer a chat completion request, as one object or as chunks
 * of a stream. Immutable.
 *
 * @param id the id of the completion
 * @param createdAtSeconds the time at which the completion started, in seconds since the
 * epoch
 * @param request the request to answer
 */
record ChatAnswer(String id, long createdAtSeconds, ChatRequest request) {

	/**
	 * Returns the chunk that carries one token.
	 * @param index the position of the token, from 0
	 * @return the JSON text
	 */
	String tokenChunk(int index) {
		ObjectNode delta = Json.mapper().createObjectNode();
		if (index == 0) {
			delta.put("role", "assistant");
		}
		delta.put("content", this.request.token(index));
		return chunk(delta, null, index + 1);
	}

	/**
	 * Returns the chunk that ends the answer.
	 * @param finishReason the reason for the end, {@code stop} or {@code length}
	 * @param generatedTokens the number of tokens of the answer
	 * @return the JSON text
	 */
	String finishChunk(String finishReason, int generatedTokens) {
		return chunk(Json.mapper().createObjectNode(), finishReason, generatedTokens);
	}

	/**
	 * Returns the chunk that carries the usage and no choices.
	 * @param generatedTokens the number of tokens of the answer
	 * @return the JSON text
	 */
	String usageChunk(int generatedTokens) {
		ObjectNode chunk = newAnswerObject("chat.completion.chunk");
		chunk.putArray("choices");
		chunk.set("usage", usage(generatedTokens));
		return chunk.toString();
	}

	/**
	 * Returns the answer as one object.
	 * @param finishReason the reason for the end, {@code stop} or {@code length}
	 * @param generatedTokens the number of tokens of the answer
	 * @return the JSON text
	 */
	String completion(String finishReason, int generatedTokens) {
		StringBuilder content = new StringBuilder();
		for (int index = 0; index < generatedTokens; index++) {
			content.append(this.request.token(index));
		}
		ObjectNode answer = newAnswerObject("chat.completion");
		ObjectNode choice = answer.putArray("choices").addObject();
		choice.put("index", 0);
		choice.putObject("message").put("role", "assistant").put("content", content.toString());
		choice.put("finish_reason", finishReason);
		answer.set("usage", usage(generatedTokens));
		return answer.toString();
	}

	private String chunk(ObjectNode delta, @Nullable String finishReason, int generatedTokens) {
		ObjectNode chunk = newAnswerObject("chat.completion.chunk");
		ObjectNode choice = chunk.putArray("choices").addObject();
		choice.put("index", 0);
		choice.set("delta", delta);
		choice.put("finish_reason", finishReason);
		if (this.request.continuousUsage()) {
			chunk.set("usage", usage(generatedTokens));
		}
		else if (this.request.includeUsage()) {
			chunk.putNull("usage");
		}
		return chunk.toString();
	}

	private ObjectNode newAnswerObject(String object) {
		ObjectNode answer = Json.mapper().createObjectNode();
		answer.put("id", this.id);
		answer.put("object", object);
		answer.put("created", this.createdAtSeconds);
		answer.put("model", this.request.model());
		return answer;
	}

	private ObjectNode usage(int generatedTokens) {
		ObjectNode usage = Json.mapper().createObjectNode();
		usage.put("prompt_tokens", this.request.promptTokens());
		usage.put("completion_tokens", generatedTokens);
		usage.put("total_tokens", this.request.promptTokens() + generatedTokens);
		return usage;
	}

}
