package io.verbenacleat.core.platform;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.BufferedSink;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;

/**
 * Sends asynchronous HTTP requests to one base URL and reads each response into memory.
 * Sends a request with a body at most once. After a timeout on a kept connection, the
 * next call opens a new one. Safe for use by several threads.
 */
public final class HttpCalls {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final MediaType BYTES = MediaType.get("application/octet-stream");

	/** Twice the size of the largest object that the platform stores. */
	private static final long MAX_BODY_BYTES = 16L << 20;

	private static final long MS_PER_SECOND = 1_000;

	private final OkHttpClient client;

	private final HttpUrl baseUrl;

	private final String token;

	HttpCalls(OkHttpClient client, HttpUrl baseUrl, String token) {
		this.client = client;
		this.baseUrl = baseUrl;
		this.token = token;
	}

	/**
	 * Returns calls to another process of the fleet.
	 * @param newBaseUrl the base URL of the process, such as {@code http://10.0.0.1:8748}
	 * @return calls that share threads, connections and timeouts with this object, and
	 * send no platform token
	 * @throws IllegalArgumentException if the URL is not a valid HTTP URL
	 */
	public HttpCalls withBaseUrl(String newBaseUrl) {
		return new HttpCalls(this.client, HttpUrl.get(newBaseUrl), "");
	}

	/**
	 * Returns a builder of a URL below the base URL.
	 * @param pathSegments the path, without a leading slash
	 * @return a new builder
	 */
	public HttpUrl.Builder url(String pathSegments) {
		return this.baseUrl.newBuilder().addPathSegments(pathSegments);
	}

	/**
	 * Sends a GET request.
	 * @param url the URL
	 * @return a future of the response; fails with {@link CallFailedException}
	 */
	public CompletableFuture<BufferedResponse> get(HttpUrl url) {
		return send(new Request.Builder().url(url).get(), new SendTracker());
	}

	/**
	 * Sends a GET request.
	 * @param url the URL
	 * @param onResponseStart called on a thread of the client when the head of the
	 * response has arrived
	 * @return a future of the response; fails with {@link CallFailedException}
	 */
	public CompletableFuture<BufferedResponse> get(HttpUrl url, Runnable onResponseStart) {
		return send(new Request.Builder().url(url).get(), new SendTracker(onResponseStart));
	}

	/**
	 * Sends a POST request with a JSON body.
	 * @param pathSegments the path, without a leading slash
	 * @param body the value to write as JSON
	 * @return a future of the response; fails with {@link CallFailedException}
	 */
	public CompletableFuture<BufferedResponse> post(String pathSegments, Object body) {
		byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
		return send(new Request.Builder().url(url(pathSegments).build()).post(new OneShotBody(JSON, bytes)),
				new SendTracker());
	}

	/**
	 * Sends a PUT request.
	 * @param url the URL
	 * @param bytes the body
	 * @return a future of the response; fails with {@link CallFailedException}
	 */
	public CompletableFuture<BufferedResponse> put(HttpUrl url, byte[] bytes) {
		return send(new Request.Builder().url(url).put(new OneShotBody(BYTES, bytes)), new SendTracker());
	}

	private CompletableFuture<BufferedResponse> send(Request.Builder builder, SendTracker tracker) {
		builder.tag(SendTracker.class, tracker);
		if (!this.token.isEmpty()) {
			builder.header("Authorization", "Bearer " + this.token);
		}
		CompletableFuture<BufferedResponse> future = new CompletableFuture<>();
		this.client.newCall(builder.build()).enqueue(new ResponseCallback(future, tracker));
		return future;
	}

	// A connection may go silent together with others, which still look open. The next
	// call would otherwise time out on one of those.
	private void closeSilentConnections(IOException failure, SendTracker tracker) {
		if (failure instanceof InterruptedIOException && tracker.usedKeptConnection()) {
			this.client.connectionPool().evictAll();
		}
	}

	/**
	 * A complete response with its body in memory. Immutable; the body array must not be
	 * changed.
	 *
	 * @param status the HTTP status
	 * @param body the body
	 * @param retryAfterMs the value of Retry-After in milliseconds, -1 if absent or not a
	 * number of seconds
	 * @param headers the headers
	 */
	public record BufferedResponse(int status, byte[] body, long retryAfterMs, Headers headers) {

		/**
		 * Parses the body as JSON.
		 * @param <T> the type of the value
		 * @param type the class of the value
		 * @return the value
		 * @throws PlatformProtocolException if the body is not a valid value of the type
		 */
		public <T> T json(Class<T> type) throws PlatformProtocolException {
			try {
				return Json.read(text(), type);
			}
			catch (JsonFormatException ex) {
				throw new PlatformProtocolException(
						"The platform responded with " + this.status + " and an invalid body", ex);
			}
		}

		/**
		 * Returns the exception for a response with an unexpected status.
		 * @return {@link PlatformUnavailableException} for 408, 429 and 5xx, otherwise
		 * {@link PlatformProtocolException}
		 */
		public PlatformException failure() {
			if (this.status >= 500 || this.status == 429 || this.status == 408) {
				return new PlatformUnavailableException("The platform responded with " + this.status, null);
			}
			return new PlatformProtocolException("The platform responded with " + this.status + ": " + text(), null);
		}

		private String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/**
	 * A call that ended without a complete response.
	 */
	public static final class CallFailedException extends Exception {

		private static final long serialVersionUID = 1L;

		private final boolean mayHaveBeenSent;

		CallFailedException(IOException cause, boolean mayHaveBeenSent) {
			super(cause);
			this.mayHaveBeenSent = mayHaveBeenSent;
		}

		/**
		 * Returns whether the server may have received the request.
		 * @return {@code false} only if the server cannot have received it
		 */
		public boolean mayHaveBeenSent() {
			return this.mayHaveBeenSent;
		}

		/**
		 * Returns the exception to report to users of the client.
		 * @return a new exception that says whether the request was sent
		 */
		public PlatformUnavailableException failure() {
			String state = this.mayHaveBeenSent ? "did not respond" : "could not be reached";
			return new PlatformUnavailableException("The platform " + state + ": " + getCause(), getCause());
		}

	}

	// A one-shot body prevents OkHttp from resending the request, which it would also do
	// after a 503 response with Retry-After: 0.
	private static final class OneShotBody extends RequestBody {

		private final MediaType type;

		private final byte[] bytes;

		private OneShotBody(MediaType type, byte[] bytes) {
			this.type = type;
			this.bytes = bytes;
		}

		@Override
		public MediaType contentType() {
			return this.type;
		}

		@Override
		public long contentLength() {
			return this.bytes.length;
		}

		@Override
		public boolean isOneShot() {
			return true;
		}

		@Override
		public void writeTo(BufferedSink sink) throws IOException {
			sink.write(this.bytes);
		}

	}

	private final class ResponseCallback implements Callback {

		private final CompletableFuture<BufferedResponse> future;

		private final SendTracker tracker;

		private ResponseCallback(CompletableFuture<BufferedResponse> future, SendTracker tracker) {
			this.future = future;
			this.tracker = tracker;
		}

		@Override
		public void onFailure(Call call, IOException ex) {
			closeSilentConnections(ex, this.tracker);
			this.future.completeExceptionally(new CallFailedException(ex, this.tracker.started()));
		}

		@Override
		public void onResponse(Call call, Response response) {
			BufferedResponse buffered;
			try (response) {
				ResponseBody body = response.body();
				byte[] bytes = (body != null) ? readBounded(body.source()) : new byte[0];
				buffered = new BufferedResponse(response.code(), bytes, retryAfterMs(response.header("Retry-After")),
						response.headers());
			}
			catch (IOException ex) {
				closeSilentConnections(ex, this.tracker);
				this.future.completeExceptionally(new CallFailedException(ex, true));
				return;
			}
			this.future.complete(buffered);
		}

		private byte[] readBounded(BufferedSource source) throws IOException {
			if (source.request(MAX_BODY_BYTES + 1)) {
				throw new IOException("The response body is longer than " + MAX_BODY_BYTES + " bytes");
			}
			return source.readByteArray();
		}

		private long retryAfterMs(@Nullable String seconds) {
			if (seconds == null || !seconds.matches("[0-9]{1,9}")) {
				return -1;
			}
			return Long.parseLong(seconds) * MS_PER_SECOND;
		}

	}

}
