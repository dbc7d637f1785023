package io.verbenacleat.entry.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.entry.request.Refusal;

/**
 * Formats refusals as the problem details of RFC 9457, extended by the error object that
 * chat clients read. Stateless.
 */
final class ProblemDetails {

	/** The media type of problem details. */
	static final String MEDIA_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:verbenacleat:problem:";

	private ProblemDetails() {
	}

	/**
	 * Returns the problem details of a refusal.
	 * @param refusal the refusal
	 * @param requestId the request id
	 * @return the JSON object
	 */
	static ObjectNode of(Refusal refusal, String requestId) {
		String code = refusal.code().code();
		ObjectNode problem = Json.mapper().createObjectNode();
		problem.put("type", TYPE_PREFIX + code);
		problem.put("title", code.replace('_', ' '));
		problem.put("status", refusal.code().status());
		problem.put("detail", refusal.detail());
		problem.put("code", code);
		problem.put("outcome", refusal.outcome().text());
		problem.put("requestId", requestId);
		if (refusal.retryAfterMs() > 0) {
			problem.put("retryAfterMs", refusal.retryAfterMs());
		}
		problem.set("error", error(refusal, code));
		return problem;
	}

	private static ObjectNode error(Refusal refusal, String code) {
		ObjectNode error = Json.mapper().createObjectNode();
		error.put("message", refusal.detail());
		error.put("type", errorType(refusal.code().status()));
		error.put("code", code);
		error.putNull("param");
		return error;
	}

	private static String errorType(int status) {
		return switch (status) {
			case 401 -> "authentication_error";
			case 402 -> "insufficient_quota";
			case 429 -> "rate_limit_error";
			default -> (status < 500) ? "invalid_request_error" : "server_error";
		};
	}

}
