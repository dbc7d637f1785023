package io.verbenacleat.entry.http;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.google.protobuf.ByteString;
import io.verbenacleat.core.config.ModelConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.entry.request.RefusalCode;
import io.verbenacleat.proto.v1.ChatWork;

/**
 * Validates the body of a chat completion request and computes the tokens that it needs
 * at most. Duplicate keys are refused, since a backend server might use another value
 * than the validated one. Safe for use by several threads.
 */
final class ChatRequestParser {

	private static final ObjectReader READER = Json.mapper()
		.readerFor(JsonNode.class)
		.with(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	/**
	 * Parses a request body.
	 * @param body the body in JSON
	 * @param config the configuration in force
	 * @return the validated request
	 * @throws RequestRejectedException if the body is not a valid request
	 */
	ParsedChatRequest parse(byte[] body, OfficeConfig config) throws RequestRejectedException {
		JsonNode root = readObject(body);
		ModelConfig model = model(root, config);
		if (!root.path("messages").isArray() || root.path("messages").isEmpty()) {
			throw invalidParameter("'messages' must be an array with at least one message");
		}
		checkSingleChoice(root, "n");
		checkSingleChoice(root, "best_of");
		long answerBound = answerBound(root, model);
		long promptBound = PromptBound.of(root, model);
		ChatWork work = ChatWork.newBuilder()
			.setModel(model.name())
			.setBodyJson(ByteString.copyFrom(body))
			.setPromptBoundTokens(promptBound)
			.setAnswerBoundTokens(answerBound)
			.build();
		boolean stream = booleanField(root, "stream");
		JsonNode options = root.path("stream_options");
		return new ParsedChatRequest(work, promptBound + answerBound + model.overrunTokens(), stream,
				booleanField(options, "include_usage"), PromptPrefixHasher.prefixKey(root));
	}

	private static JsonNode readObject(byte[] body) throws RequestRejectedException {
		try {
			JsonNode root = READER.readValue(body);
			if (root == null || !root.isObject()) {
				throw new RequestRejectedException(RefusalCode.INVALID_REQUEST, "The body must be a JSON object");
			}
			return root;
		}
		catch (JsonProcessingException ex) {
			throw new RequestRejectedException(RefusalCode.INVALID_REQUEST,
					"The body is not valid JSON: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw new RequestRejectedException(RefusalCode.INVALID_REQUEST, "The body cannot be read");
		}
	}

	private static ModelConfig model(JsonNode root, OfficeConfig config) throws RequestRejectedException {
		JsonNode name = root.path("model");
		if (!name.isTextual()) {
			throw invalidParameter("'model' must be a string");
		}
		Optional<ModelConfig> model = config.modelOrAdapter(name.asText());
		return model.orElseThrow(() -> new RequestRejectedException(RefusalCode.MODEL_NOT_FOUND,
				"The model is not known here; GET /v1/models lists the models"));
	}

	private static long answerBound(JsonNode root, ModelConfig model) throws RequestRejectedException {
		String name = (root.hasNonNull("max_completion_tokens")) ? "max_completion_tokens" : "max_tokens";
		if (!root.hasNonNull(name)) {
			return model.defaultMaxAnswerTokens();
		}
		JsonNode value = root.path(name);
		boolean fits = value.isIntegralNumber() && value.canConvertToLong() && value.asLong() >= 1
				&& value.asLong() <= model.maxAnswerTokens();
		if (!fits) {
			throw invalidParameter("'" + name + "' must be an integer from 1 to " + model.maxAnswerTokens());
		}
		return value.asLong();
	}

	private static void checkSingleChoice(JsonNode root, String name) throws RequestRejectedException {
		if (root.hasNonNull(name) && !(root.path(name).isIntegralNumber() && root.path(name).asLong() == 1)) {
			throw invalidParameter("'" + name + "' must be 1");
		}
	}

	private static boolean booleanField(JsonNode node, String name) throws RequestRejectedException {
		JsonNode value = node.path(name);
		if (value.isMissingNode() || value.isNull()) {
			return false;
		}
		if (!value.isBoolean()) {
			throw invalidParameter("'" + name + "' must be true or false");
		}
		return value.asBoolean();
	}

	private static RequestRejectedException invalidParameter(String detail) {
		return new RequestRejectedException(RefusalCode.INVALID_PARAMETER, detail);
	}

}
