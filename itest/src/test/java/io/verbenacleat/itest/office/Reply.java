package io.verbenacleat.itest.office;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;

/**
 * What a caller saw of one request. Immutable.
 *
 * @param status the HTTP status, 0 when there was no response
 * @param requestId the header {@code Verbena-Request-Id}, empty without one
 * @param mediaType the media type, empty without one
 * @param replayed whether the response came from a claim
 * @param body the body as far as it came
 * @param broken whether the connection broke before the end
 */
record Reply(int status, String requestId, String mediaType, boolean replayed, String body, boolean broken) {

	/**
	 * Returns the problem details, of a whole response or of an event.
	 * @return the problem, a missing node without one
	 */
	JsonNode problem() {
		if (this.mediaType.startsWith("application/problem+json")) {
			return json(this.body);
		}
		return events().stream()
			.map(Reply::json)
			.filter((event) -> event.has("code"))
			.findFirst()
			.orElse(Json.mapper().missingNode());
	}

	String code() {
		return problem().path("code").asText();
	}

	String outcome() {
		return problem().path("outcome").asText();
	}

	boolean isDone() {
		return !this.broken && this.body.endsWith("data: [DONE]\n\n");
	}

	/**
	 * Returns the text of a completion, streamed or not.
	 * @return the text
	 */
	String content() {
		if (this.mediaType.startsWith("application/json")) {
			return json(this.body).path("choices").path(0).path("message").path("content").asText();
		}
		StringBuilder text = new StringBuilder();
		events().forEach(
				(event) -> text.append(json(event).path("choices").path(0).path("delta").path("content").asText()));
		return text.toString();
	}

	String finishReason() {
		if (this.mediaType.startsWith("application/json")) {
			return json(this.body).path("choices").path(0).path("finish_reason").asText();
		}
		List<String> reasons = new ArrayList<>();
		events().forEach((event) -> {
			JsonNode reason = json(event).path("choices").path(0).path("finish_reason");
			if (reason.isTextual()) {
				reasons.add(reason.asText());
			}
		});
		return String.join(",", reasons);
	}

	private List<String> events() {
		return this.body.lines()
			.filter((line) -> line.startsWith("data: {"))
			.map((line) -> line.substring("data: ".length()))
			.toList();
	}

	private static JsonNode json(String text) {
		try {
			return Json.read(text, JsonNode.class);
		}
		catch (JsonFormatException ex) {
			return Json.mapper().missingNode();
		}
	}

}
