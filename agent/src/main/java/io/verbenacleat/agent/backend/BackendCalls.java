package io.verbenacleat.agent.backend;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Connection;
import okhttp3.ConnectionPool;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * HTTP client for backend servers. Sends each request at most once; an {@link Attempt}
 * shows whether a part of it may have been sent. Safe for use by several threads.
 */
public final class BackendCalls implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_SECONDS = 2;

	/** Ends calls to a server that neither responds nor closes the connection. */
	private static final int READ_TIMEOUT_MINUTES = 10;

	/**
	 * Disables connection reuse. A request on an idle connection that the server has
	 * closed fails with an unknown outcome, whereas a failure to connect proves that
	 * nothing was sent.
	 */
	private static final int IDLE_CONNECTIONS = 0;

	private static final String RETRY_AFTER = "Retry-After";

	private static final String HIDDEN_RETRY_AFTER = "Verbena-Hidden-Retry-After";

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.followRedirects(false)
		.followSslRedirects(false)
		.connectionPool(new ConnectionPool(IDLE_CONNECTIONS, 1, TimeUnit.SECONDS))
		.connectTimeout(CONNECT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
		.readTimeout(READ_TIMEOUT_MINUTES, TimeUnit.MINUTES)
		.writeTimeout(READ_TIMEOUT_MINUTES, TimeUnit.MINUTES)
		.addInterceptor((chain) -> renameHeader(chain, HIDDEN_RETRY_AFTER, RETRY_AFTER))
		.addNetworkInterceptor((chain) -> renameHeader(chain, RETRY_AFTER, HIDDEN_RETRY_AFTER))
		.build();

	/**
	 * Creates a call.
	 * @param request the request
	 * @param attempt records how far the call got
	 * @return the call
	 */
	public Call newCall(Request request, Attempt attempt) {
		return this.client.newBuilder().eventListener(attempt).build().newCall(request);
	}

	@Override
	public void close() {
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

	/**
	 * Renames a response header. Hides {@code Retry-After} from OkHttp, which repeats a
	 * request after a 503 response with {@code Retry-After: 0}.
	 * @param chain the interceptor chain
	 * @param from the current name
	 * @param to the new name
	 * @return the response with the renamed header
	 * @throws IOException when the call fails
	 */
	private static Response renameHeader(Interceptor.Chain chain, String from, String to) throws IOException {
		Response response = chain.proceed(chain.request());
		String value = response.header(from);
		if (value == null) {
			return response;
		}
		return response.newBuilder().removeHeader(from).header(to, value).build();
	}

	/**
	 * Records whether a call obtained a connection, before anything is sent over it, and
	 * whether the complete body was sent. Written by the thread that runs the call; may
	 * be read from any thread.
	 */
	public static final class Attempt extends EventListener {

		private final Runnable onConnected;

		private volatile boolean connected;

		private volatile boolean bodySent;

		private volatile boolean sendFailed;

		/**
		 * Creates an attempt.
		 * @param onConnected called once, before the request is sent
		 */
		public Attempt(Runnable onConnected) {
			this.onConnected = onConnected;
		}

		/**
		 * Returns whether the call obtained a connection; without one, nothing was sent.
		 * @return {@code true} when the request or a part of it may have been sent
		 */
		public boolean connected() {
			return this.connected;
		}

		/**
		 * Returns whether the complete body was written to the connection. Until then,
		 * the server cannot have received the complete request.
		 * @return {@code true} when the server may have received the complete request
		 */
		public boolean bodySent() {
			return this.bodySent;
		}

		/**
		 * Returns whether the request could not be sent to its end, because its
		 * connection broke. The client reads a response all the same, and may take the
		 * broken connection for the end of its body.
		 * @return {@code true} if a response may be cut unless it has a length or chunks
		 */
		public boolean sendFailed() {
			return this.sendFailed;
		}

		@Override
		public void requestFailed(Call call, IOException failure) {
			this.sendFailed = true;
		}

		@Override
		public void requestBodyEnd(Call call, long byteCount) {
			this.bodySent = true;
		}

		@Override
		public void connectionAcquired(Call call, Connection connection) {
			if (!this.connected) {
				this.connected = true;
				this.onConnected.run();
			}
		}

	}

}
