package io.verbenacleat.itest;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.core.json.Json;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * An HTTP client of the fleet that sends single requests and checks that each answer
 * belongs to its request. It never retries and opens a new connection for each request.
 * Thread-safe; blocks.
 */
final class Caller {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);

	/** Upper bound of the prompt tokens of {@link #chat}, including the overrun. */
	private static final int MAX_PROMPT_TOKENS = 400;

	private final OkHttpClient client = new OkHttpClient.Builder()
		.connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
		.retryOnConnectionFailure(false)
		.callTimeout(CALL_TIMEOUT)
		.readTimeout(CALL_TIMEOUT)
		.build();

	private final ProcessFleet fleet;

	private final String key;

	/**
	 * Creates a caller.
	 * @param fleet the fleet
	 * @param key the API key of the caller
	 */
	Caller(ProcessFleet fleet, String key) {
		this.fleet = fleet;
		this.key = key;
	}

	/**
	 * Sends a streamed chat request.
	 * @param id the id of the request, part of the prompt and of each token of the answer
	 * @param entry the name of the entry
	 * @param answerTokens the length of the answer in tokens
	 * @return the record of the request
	 */
	CallRecord chat(String id, String entry, int answerTokens) {
		String body = """
				{"model":"model-a","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Quote id=%s answer=%d"}]}"""
			.formatted(answerTokens, id, answerTokens);
		Request request = request(entry, "/v1/chat/completions", body).build();
		return send(new CallRecordBuilder(id, CallRecord.Kind.CHAT, entry, "", MAX_PROMPT_TOKENS + answerTokens),
				request, (builder, response) -> readStream(builder, response, expectedAnswer(id, answerTokens)));
	}

	/**
	 * Sends a booking.
	 * @param id the id of the request
	 * @param entry the name of the entry
	 * @param idempotencyKey the idempotency key, which is also the booked slot
	 * @return the record of the request
	 */
	CallRecord createBooking(String id, String entry, String idempotencyKey) {
		Request request = request(entry, "/bookings", "{\"slot\":\"" + idempotencyKey + "\"}")
			.header("Idempotency-Key", idempotencyKey)
			.build();
		return send(new CallRecordBuilder(id, CallRecord.Kind.BOOKING, entry, idempotencyKey, 5), request,
				(builder, response) -> {
					String text = response.body().string();
					JsonNode booking = Json.mapper().readTree(text);
					boolean own = booking.path("slot").asText().equals(idempotencyKey);
					return builder.build((own) ? CallRecord.Outcome.WHOLE : CallRecord.Outcome.FOREIGN, text);
				});
	}

	private Request.Builder request(String entry, String path, String body) {
		return new Request.Builder().url(this.fleet.url(entry) + path)
			.header("Authorization", "Bearer " + this.key)
			.post(RequestBody.create(body, JSON));
	}

	private CallRecord send(CallRecordBuilder builder, Request request, AnswerReader reader) {
		boolean answered = false;
		try (Response response = this.client.newCall(request).execute()) {
			answered = true;
			String requestId = response.header("Verbena-Request-Id");
			builder.requestId = (requestId != null) ? requestId : "";
			if (response.isSuccessful()) {
				return reader.read(builder, response);
			}
			return builder.buildFromProblem(Json.mapper().readTree(response.body().string()));
		}
		catch (IOException ex) {
			return builder.build((answered) ? CallRecord.Outcome.BROKEN_OFF : CallRecord.Outcome.NO_ANSWER,
					ex.toString());
		}
	}

	private static CallRecord readStream(CallRecordBuilder builder, Response response, String expected)
			throws IOException {
		StringBuilder content = new StringBuilder();
		BufferedSource source = response.body().source();
		for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
			if (line.equals("data: [DONE]")) {
				boolean own = expected.contentEquals(content);
				return builder.build((own) ? CallRecord.Outcome.WHOLE : CallRecord.Outcome.FOREIGN, content.toString());
			}
			if (line.startsWith("data: ")) {
				JsonNode chunk = Json.mapper().readTree(line.substring("data: ".length()));
				if (chunk.has("outcome")) {
					return builder.buildFromProblem(chunk);
				}
				content.append(chunk.path("choices").path(0).path("delta").path("content").asText(""));
			}
		}
		return builder.build(CallRecord.Outcome.BROKEN_OFF, "The stream ended after: " + content);
	}

	private static String expectedAnswer(String id, int answerTokens) {
		StringBuilder answer = new StringBuilder();
		for (int index = 0; index < answerTokens; index++) {
			answer.append((index == 0) ? "" : " ").append(id).append('-').append(index);
		}
		return answer.toString();
	}

	/**
	 * Reads the body of a successful response.
	 */
	@FunctionalInterface
	private interface AnswerReader {

		CallRecord read(CallRecordBuilder builder, Response response) throws IOException;

	}

	/**
	 * Collects the components of a {@link CallRecord}. Not thread-safe.
	 */
	private static final class CallRecordBuilder {

		private final long startedAtMs = System.currentTimeMillis();

		private final String id;

		private final CallRecord.Kind kind;

		private final String entry;

		private final String idempotencyKey;

		private final long boundTokens;

		private String requestId = "";

		private CallRecordBuilder(String id, CallRecord.Kind kind, String entry, String idempotencyKey,
				long boundTokens) {
			this.id = id;
			this.kind = kind;
			this.entry = entry;
			this.idempotencyKey = idempotencyKey;
			this.boundTokens = boundTokens;
		}

		private CallRecord buildFromProblem(JsonNode problem) {
			boolean notRun = problem.path("outcome").asText().equals("not-run");
			if (problem.hasNonNull("requestId")) {
				this.requestId = problem.path("requestId").asText();
			}
			return build((notRun) ? CallRecord.Outcome.NOT_RUN : CallRecord.Outcome.UNKNOWN,
					problem.path("code").asText("") + ": " + problem.path("detail").asText(""));
		}

		private CallRecord build(CallRecord.Outcome outcome, String detail) {
			return new CallRecord(this.id, this.kind, this.entry, this.requestId, this.idempotencyKey, outcome, detail,
					this.boundTokens, this.startedAtMs, System.currentTimeMillis());
		}

	}

}
