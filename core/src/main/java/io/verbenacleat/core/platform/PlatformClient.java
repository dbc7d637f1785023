package io.verbenacleat.core.platform;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;

/**
 * An asynchronous HTTP client for the services of the platform, which
 * {@code docs/platform-protocol.md} specifies. Calls do not block; futures complete on
 * threads of the client. A process needs only one client. Safe for use by several
 * threads.
 *
 * <pre>{@code
 * try (PlatformClient platform = PlatformClient.builder("http://127.0.0.1:8080")
 *         .token(token)
 *         .callTimeout(Duration.ofSeconds(2))
 *         .build()) {
 *     platform.tables().read("head").thenAccept(...);
 * }
 * }</pre>
 */
public final class PlatformClient implements AutoCloseable {

	// OkHttp allows 5 concurrent calls per host by default; more would queue behind slow
	// calls.
	private static final int MAX_CALLS = 256;

	private static final int THREAD_IDLE_SECONDS = 30;

	private final OkHttpClient client;

	private final ExecutorService executor;

	private final HttpUrl baseUrl;

	private final String token;

	private final HttpTableStore tables;

	private final HttpHostList hosts;

	private final HttpObjectStore objects;

	private final HttpWeightStore weights;

	private PlatformClient(Builder builder) {
		this.executor = new ThreadPoolExecutor(0, MAX_CALLS, THREAD_IDLE_SECONDS, TimeUnit.SECONDS,
				new SynchronousQueue<>(), PlatformClient::newThread);
		Dispatcher dispatcher = new Dispatcher(this.executor);
		dispatcher.setMaxRequests(MAX_CALLS);
		dispatcher.setMaxRequestsPerHost(MAX_CALLS);
		this.client = ResponseGuard.addTo(new OkHttpClient.Builder())
			.dispatcher(dispatcher)
			.callTimeout(builder.callTimeout)
			.connectTimeout(builder.callTimeout)
			.readTimeout(builder.callTimeout)
			.writeTimeout(builder.callTimeout)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.eventListenerFactory(SendTracker::listenerFor)
			.build();
		HttpCalls calls = new HttpCalls(this.client, builder.baseUrl, builder.token);
		this.baseUrl = builder.baseUrl;
		this.token = builder.token;
		this.tables = new HttpTableStore(calls);
		this.hosts = new HttpHostList(calls);
		this.objects = new HttpObjectStore(calls);
		this.weights = new HttpWeightStore(calls);
	}

	/**
	 * Returns a builder.
	 * @param baseUrl the base URL of the platform, such as {@code http://127.0.0.1:8080}
	 * @return a new builder
	 * @throws IllegalArgumentException if the URL is not a valid HTTP URL
	 */
	public static Builder builder(String baseUrl) {
		return new Builder(HttpUrl.get(baseUrl));
	}

	/**
	 * Returns the table service.
	 * @return the table service
	 */
	public TableStore tables() {
		return this.tables;
	}

	/**
	 * Returns the host list.
	 * @return the host list
	 */
	public HostList hosts() {
		return this.hosts;
	}

	/**
	 * Returns the object store.
	 * @return the object store
	 */
	public ObjectStore objects() {
		return this.objects;
	}

	/**
	 * Returns the weight store.
	 * @return the weight store
	 */
	public WeightStore weights() {
		return this.weights;
	}

	/**
	 * Returns an object for requests to other paths of the platform.
	 * @param callTimeout the timeout of a complete call including the connection attempt,
	 * more than zero
	 * @return calls that share the threads and connections of this client
	 */
	public HttpCalls calls(Duration callTimeout) {
		return calls(callTimeout, callTimeout);
	}

	/**
	 * Returns an object for requests to other paths of the platform whose responses may
	 * be long.
	 * @param callTimeout the timeout of a complete call including the connection attempt,
	 * more than zero
	 * @param readTimeout the timeout of the wait for further bytes of the response, more
	 * than zero
	 * @return calls that share the threads and connections of this client
	 */
	public HttpCalls calls(Duration callTimeout, Duration readTimeout) {
		OkHttpClient derived = this.client.newBuilder()
			.callTimeout(callTimeout)
			.readTimeout(readTimeout)
			.writeTimeout(callTimeout)
			.build();
		return new HttpCalls(derived, this.baseUrl, this.token);
	}

	/**
	 * Closes the connections that no call uses, so that the next call to each address
	 * opens a new one.
	 */
	public void closeIdleConnections() {
		this.client.connectionPool().evictAll();
	}

	/**
	 * Cancels the calls in progress and releases threads and idle connections.
	 */
	@Override
	public void close() {
		this.client.dispatcher().cancelAll();
		this.executor.shutdown();
		this.client.connectionPool().evictAll();
	}

	private static Thread newThread(Runnable task) {
		Thread thread = new Thread(task, "platform-client");
		thread.setDaemon(true);
		return thread;
	}

	/**
	 * Collects the settings of a client. Not safe for use by several threads.
	 */
	public static final class Builder {

		private static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(2);

		private final HttpUrl baseUrl;

		private String token = "";

		private Duration callTimeout = DEFAULT_CALL_TIMEOUT;

		private Builder(HttpUrl baseUrl) {
			this.baseUrl = baseUrl;
		}

		/**
		 * Sets the bearer token; no token is sent by default.
		 * @param newToken the token, empty for none
		 * @return this builder
		 */
		public Builder token(String newToken) {
			this.token = newToken;
			return this;
		}

		/**
		 * Sets the timeout of a complete call including the connection attempt; 2 s by
		 * default.
		 * @param newCallTimeout the timeout, at least 1 ms
		 * @return this builder
		 * @throws IllegalArgumentException if the timeout is shorter than 1 ms
		 */
		public Builder callTimeout(Duration newCallTimeout) {
			if (newCallTimeout.toMillis() < 1) {
				throw new IllegalArgumentException("The call timeout must be at least 1 ms");
			}
			this.callTimeout = newCallTimeout;
			return this;
		}

		/**
		 * Builds the client.
		 * @return a new client
		 */
		public PlatformClient build() {
			return new PlatformClient(this);
		}

	}

}
