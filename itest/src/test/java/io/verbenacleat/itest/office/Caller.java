package io.verbenacleat.itest.office;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import okhttp3.Headers;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.Buffer;
import okio.BufferedSource;

/**
 * An HTTP client for entries that records every reply for {@link OfficeAudit}. It does
 * not retry. Thread-safe; blocks.
 */
final class Caller {

	private static final MediaType JSON = MediaType.get("application/json");

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.callTimeout(Duration.ofSeconds(30))
		.build();

	private final Queue<Reply> replies = new ConcurrentLinkedQueue<>();

	Caller() {
		this.client.dispatcher().setMaxRequests(256);
	}

	/**
	 * Returns all replies recorded so far.
	 * @return a copy
	 */
	List<Reply> replies() {
		return List.copyOf(this.replies);
	}

	/**
	 * Returns the request body of a streamed chat completion.
	 * @param word the word that each token of the answer contains
	 * @param answerTokens the length of the engine's answer in tokens
	 * @param maxTokens the value of {@code max_tokens}
	 * @return the JSON text
	 */
	static String chatBody(String word, int answerTokens, int maxTokens) {
		return "{\"model\":\"quotes\",\"stream\":true,\"max_tokens\":" + maxTokens
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"id=" + word + " answer=" + answerTokens + "\"}]}";
	}

	/**
	 * Returns the answer of the stand-in engine to a request.
	 * @param word the word in the request
	 * @param tokens the length of the answer in tokens
	 * @return the text
	 */
	static String answer(String word, int tokens) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < tokens; i++) {
			text.append((i == 0) ? "" : " ").append(word).append('-').append(i);
		}
		return text.toString();
	}

	/**
	 * Sends a chat completion.
	 * @param url the base URL of the entry
	 * @param key the API key of the caller
	 * @param body the request body
	 * @return the reply
	 */
	Reply chat(String url, String key, String body) {
		return post(url + "/v1/chat/completions", key, body, Map.of());
	}

	/**
	 * Sends a booking.
	 * @param url the base URL of the entry
	 * @param key the API key of the caller
	 * @param idempotencyKey the idempotency key
	 * @param body the request body
	 * @return the reply
	 */
	Reply createBooking(String url, String key, String idempotencyKey, String body) {
		return post(url + "/bookings", key, body, Map.of("Idempotency-Key", idempotencyKey));
	}

	/**
	 * Sends a POST request.
	 * @param url the URL with its path
	 * @param key the API key of the caller
	 * @param body the JSON body
	 * @param headers further headers
	 * @return the reply
	 */
	Reply post(String url, String key, String body, Map<String, String> headers) {
		return send(new Request.Builder().url(url)
			.headers(Headers.of(headers))
			.header("Authorization", "Bearer " + key)
			.post(RequestBody.create(body, JSON))
			.build());
	}

	/**
	 * Sends a request and records its reply.
	 * @param request the request
	 * @return the reply, also when the connection failed
	 */
	Reply send(Request request) {
		Reply reply = call(request);
		this.replies.add(reply);
		return reply;
	}

	private Reply call(Request request) {
		Buffer body = new Buffer();
		try (Response response = this.client.newCall(request).execute()) {
			boolean broken = false;
			try (BufferedSource source = response.body().source()) {
				body.writeAll(source);
			}
			catch (IOException ex) {
				broken = true;
			}
			return new Reply(response.code(), response.header("Verbena-Request-Id", ""),
					response.header("Content-Type", ""), response.header("Verbena-Replayed") != null, body.readUtf8(),
					broken);
		}
		catch (IOException ex) {
			return new Reply(0, "", "", false, "", true);
		}
	}

}
