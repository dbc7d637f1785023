package io.verbenacleat.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.core.config.ModelConfig;
import io.verbenacleat.entry.request.RefusalCode;

/**
 * Computes an upper bound of the prompt tokens of a chat completion. No tokenizer
 * produces more than one token for each byte, so the UTF-8 length of all text is a bound.
 * Chat templates add some tokens for each message, and each image counts as the number of
 * tokens in the configuration of the model. Not safe for use by several threads.
 */
final class PromptBound {

	private static final int TOKENS_PER_REQUEST = 64;

	private static final int TOKENS_PER_MESSAGE = 16;

	/** Quotes, braces and commas that templates render for tool schemas. */
	private static final int TOKENS_PER_VALUE = 2;

	private final ModelConfig model;

	private long tokens = TOKENS_PER_REQUEST;

	private PromptBound(ModelConfig model) {
		this.model = model;
	}

	/**
	 * Returns the bound of a request.
	 * @param body the request body, a JSON object
	 * @param model the model
	 * @return the maximum number of prompt tokens
	 * @throws RequestRejectedException if a content part has no known bound
	 */
	static long of(JsonNode body, ModelConfig model) throws RequestRejectedException {
		PromptBound bound = new PromptBound(model);
		bound.addValue(body);
		bound.tokens += (long) TOKENS_PER_MESSAGE * body.path("messages").size();
		return bound.tokens;
	}

	private void addValue(JsonNode node) throws RequestRejectedException {
		this.tokens += TOKENS_PER_VALUE;
		if (node.isObject()) {
			addObject(node);
		}
		else if (node.isArray()) {
			for (JsonNode element : node) {
				addValue(element);
			}
		}
		else {
			this.tokens += utf8Length(node.asText());
		}
	}

	private void addObject(JsonNode node) throws RequestRejectedException {
		String type = node.path("type").asText("");
		if (type.equals("image_url") && node.has("image_url")) {
			this.tokens += this.model.imageTokens();
			return;
		}
		if (type.equals("input_audio") || type.equals("file") || type.equals("video_url")) {
			throw new RequestRejectedException(RefusalCode.INVALID_PARAMETER,
					"Content parts of type '" + type + "' are not supported; allowed are text and image_url");
		}
		Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
		while (fields.hasNext()) {
			Map.Entry<String, JsonNode> field = fields.next();
			this.tokens += utf8Length(field.getKey());
			addValue(field.getValue());
		}
	}

	private static long utf8Length(String text) {
		return text.getBytes(StandardCharsets.UTF_8).length;
	}

}
