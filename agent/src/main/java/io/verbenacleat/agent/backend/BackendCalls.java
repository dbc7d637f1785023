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
 * Makes HTTP calls that are sent at most once and that tell whether anything was sent.
 * Safe for use by several threads.
 */
public final class BackendCalls implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_SECONDS = 2;

	/** Ends a call to a server that neither answers nor closes the connection. */
	private static final int READ_TIMEOUT_MINUTES = 10;

	/**
	 * A request on a kept connection that the server has closed would fail with an
	 * unknown outcome, where a new connection is refused before anything is sent.
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
	 * Prepares a call.
	 * @param request the request
	 * @param attempt notes whether the call found a connection
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
	 * Hides the header from OkHttp, which sends a request again after a 503 with
	 * {@code Retry-After: 0}.
	 * @param chain the chain
	 * @param from the name to replace
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
	 * Notes whether a call found a connection, before anything is sent over it, and
	 * whether the whole body was sent. Used by the thread that runs the call.
	 */
	public static final class Attempt extends EventListener {

		private final Runnable onConnected;

		private volatile boolean connected;

		private volatile boolean bodySent;

		/**
		 * Creates a note.
		 * @param onConnected called once, before the request is sent
		 */
		public Attempt(Runnable onConnected) {
			this.onConnected = onConnected;
		}

		/**
		 * Returns whether there was a connection; without one nothing was sent.
		 * @return {@code true} when the request or a part of it may have been sent
		 */
		public boolean connected() {
			return this.connected;
		}

		/**
		 * Returns whether the body was handed to the connection as a whole. Before that
		 * the server cannot have the whole request.
		 * @return {@code true} when the server may have the whole request
		 */
		public boolean bodySent() {
			return this.bodySent;
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
