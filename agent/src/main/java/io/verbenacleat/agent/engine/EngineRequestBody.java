package io.verbenacleat.agent.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;

/**
 * Creates the request body for the model engine from that of the caller. Stateless.
 */
final class EngineRequestBody {

	private static final String STREAM_OPTIONS = "stream_options";

	private static final String MAX_TOKENS = "max_tokens";

	private static final String MAX_COMPLETION_TOKENS = "max_completion_tokens";

	private EngineRequestBody() {
	}

	/**
	 * Sets the fields that make the engine stream the response, report usage, stop at the
	 * answer bound and schedule by priority. Replaces a priority that the caller set.
	 * @param body the body of the caller
	 * @param answerBoundTokens the maximum number of answer tokens, 1 or more
	 * @param priority the priority of the account; lower is more urgent
	 * @return the body for the engine
	 * @throws JsonFormatException when the body is not a JSON object
	 */
	static byte[] bounded(ByteString body, long answerBoundTokens, int priority) throws JsonFormatException {
		ObjectNode root = parse(body);
		long bound = answerBoundTokens;
		bound = Math.min(bound, root.path(MAX_TOKENS).asLong(bound));
		bound = Math.min(bound, root.path(MAX_COMPLETION_TOKENS).asLong(bound));
		root.put("stream", true);
		ObjectNode options = (root.get(STREAM_OPTIONS) instanceof ObjectNode existing) ? existing
				: root.putObject(STREAM_OPTIONS);
		options.put("include_usage", true);
		root.put(MAX_TOKENS, bound);
		root.put("priority", priority);
		if (root.has(MAX_COMPLETION_TOKENS)) {
			root.put(MAX_COMPLETION_TOKENS, bound);
		}
		return root.toString().getBytes(StandardCharsets.UTF_8);
	}

	private static ObjectNode parse(ByteString body) throws JsonFormatException {
		try {
			JsonNode root = Json.mapper().readTree(body.toByteArray());
			if (root instanceof ObjectNode object) {
				return object;
			}
			throw new JsonFormatException("The body is not a JSON object", null);
		}
		catch (IOException ex) {
			throw new JsonFormatException("The body is not JSON", ex);
		}
	}

}
