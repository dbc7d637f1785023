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
 * Sends requests to entries and keeps every reply for the checks at the end. Safe for use
 * by several threads.
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
	 * Returns all replies so far.
	 * @return a copy
	 */
	List<Reply> replies() {
		return List.copyOf(this.replies);
	}

	/**
	 * Returns the body of a streamed chat completion.
	 * @param word the word that the answer repeats
	 * @param answerTokens the length of the answer
	 * @param maxTokens the bound of the answer
	 * @return the JSON text
	 */
	static String chatBody(String word, int answerTokens, int maxTokens) {
		return "{\"model\":\"quotes\",\"stream\":true,\"max_tokens\":" + maxTokens
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"id=" + word + " answer=" + answerTokens + "\"}]}";
	}

	/**
	 * Returns the text that the engine answers to a word.
	 * @param word the word
	 * @param tokens the length
	 * @return the text
	 */
	static String answer(String word, int tokens) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < tokens; i++) {
			text.append((i == 0) ? "" : " ").append(word).append('-').append(i);
		}
		return text.toString();
	}

	Reply chat(String url, String key, String body) {
		return post(url + "/v1/chat/completions", key, body, Map.of());
	}

	Reply createBooking(String url, String key, String idempotencyKey, String body) {
		return post(url + "/bookings", key, body, Map.of("Idempotency-Key", idempotencyKey));
	}

	Reply post(String url, String key, String body, Map<String, String> headers) {
		return send(new Request.Builder().url(url)
			.headers(Headers.of(headers))
			.header("Authorization", "Bearer " + key)
			.post(RequestBody.create(body, JSON))
			.build());
	}

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
