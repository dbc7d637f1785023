package io.verbenacleat.itest.office;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;

/**
 * The reply to a request, as its caller saw it. Immutable.
 *
 * @param status the HTTP status, 0 when there was no response
 * @param requestId the header {@code Verbena-Request-Id}, empty without one
 * @param mediaType the media type, empty without one
 * @param replayed whether the response is replayed from a claim
 * @param body the body as far as it was received
 * @param broken whether the connection failed before the end of the body
 */
record Reply(int status, String requestId, String mediaType, boolean replayed, String body, boolean broken) {

	/**
	 * Returns the problem details, from the body of the response or from an event of a
	 * stream.
	 * @return the problem details, a missing node when there are none
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

	/**
	 * Returns the code of the problem details.
	 * @return the code, empty when there is none
	 */
	String code() {
		return problem().path("code").asText();
	}

	/**
	 * Returns the outcome in the problem details.
	 * @return the outcome, empty when there is none
	 */
	String outcome() {
		return problem().path("outcome").asText();
	}

	/**
	 * Returns whether the reply is a stream with a normal end.
	 * @return {@code true} when the last event is {@code [DONE]}
	 */
	boolean isDone() {
		return !this.broken && this.body.endsWith("data: [DONE]\n\n");
	}

	/**
	 * Returns the text of a completion, streamed or not.
	 * @return the text, as far as it was received
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

	/**
	 * Returns the finish reason of a completion, streamed or not.
	 * @return the reason, several joined by commas, empty when there is none
	 */
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
