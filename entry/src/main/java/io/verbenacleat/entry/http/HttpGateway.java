package io.verbenacleat.entry.http;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Router;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.daemon.HttpServer;
import io.verbenacleat.entry.request.Refusal;
import io.verbenacleat.entry.request.RefusalCode;
import io.verbenacleat.entry.request.RequestRunner;

/**
 * The HTTP server for callers: chat completions, the list of models, and the plain
 * services of the configuration. Safe for use by several threads.
 */
public final class HttpGateway implements AutoCloseable {

	/** The maximum body size; the configuration can set a lower limit only. */
	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private static final int WORKER_THREADS = 32;

	private final HttpServer server;

	private final Admission admission;

	private final GatewayRoutes routes;

	private final GatewayMetrics metrics;

	private final RequestIdGenerator requestIds;

	private HttpGateway(Builder builder, String host, int port) throws IOException {
		this.admission = new Admission(builder.blackboard, builder.clock);
		this.metrics = new GatewayMetrics(builder.registry, this.admission);
		this.routes = new GatewayRoutes(builder.runner, builder.keyCheck, this.metrics);
		this.requestIds = new RequestIdGenerator(builder.incarnation);
		this.server = startServer(host, port, builder.callerIdleTimeout);
	}

	/**
	 * Returns a builder.
	 * @param incarnation the incarnation of this entry
	 * @param blackboard the blackboard of the entry
	 * @param runner the runner of the requests
	 * @param keyCheck the check of the keys of requests that reserve no tokens
	 * @return a new builder
	 */
	public static Builder builder(String incarnation, Blackboard blackboard, RequestRunner runner, KeyCheck keyCheck) {
		return new Builder(incarnation, blackboard, runner, keyCheck);
	}

	/**
	 * Returns the bound port.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number of requests, zero or more
	 */
	public int requestsInProgress() {
		return this.admission.inProgress();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private HttpServer startServer(String host, int port, Duration callerIdleTimeout) throws IOException {
		ServerOptions options = new ServerOptions();
		options.setHost(host);
		options.setPort(port);
		options.setWorkerThreads(WORKER_THREADS);
		options.setMaxRequestSize(MAX_BODY_BYTES);
		options.setDefaultHeaders(false);
		Jooby app = new Jooby();
		app.error((context, failure, status) -> refuseUnhandled(context, status));
		app.post("/v1/chat/completions", (context) -> handle(context, this.routes::chat));
		app.get("/v1/models", (context) -> handle(context, this.routes::models));
		app.get(HttpServer.UNREADABLE_PATH, (context) -> {
			refuseUnhandled(context, StatusCode.BAD_REQUEST);
			return context;
		});
		for (String method : Router.METHODS) {
			app.route(method, "/*", (context) -> handle(context, this.routes::service));
		}
		return HttpServer.start(app, options, callerIdleTimeout);
	}

	private Object handle(Context context, RouteHandler handler) throws Exception {
		return context.detach((detached) -> {
			String requestId = this.requestIds.next();
			try {
				OfficeConfig config = this.admission.admit();
				Exchange exchange = new Exchange(detached, requestId, this.metrics, this.admission::release);
				run(detached, exchange, config, requestId, handler);
			}
			catch (RequestRejectedException ex) {
				new Exchange(detached, requestId, this.metrics, () -> {
				}).refuse(ex.refusal());
			}
			return detached;
		});
	}

	private static void run(Context context, Exchange exchange, OfficeConfig config, String requestId,
			RouteHandler handler) {
		try {
			handler.handle(context, exchange, config, requestId);
		}
		catch (RequestRejectedException ex) {
			exchange.refuse(ex.refusal());
		}
	}

	private void refuseUnhandled(Context context, StatusCode status) {
		boolean tooLarge = status.value() == StatusCode.REQUEST_ENTITY_TOO_LARGE.value();
		Refusal refusal = (tooLarge)
				? Refusal.notRun(RefusalCode.BODY_TOO_LARGE, "The body is over " + MAX_BODY_BYTES + " bytes")
				: Refusal.notRun(RefusalCode.INVALID_REQUEST, "The request could not be read");
		new Exchange(context, this.requestIds.next(), this.metrics, () -> {
		}).refuse(refusal);
	}

	/**
	 * Handles the requests of one route.
	 */
	@FunctionalInterface
	private interface RouteHandler {

		void handle(Context context, Exchange exchange, OfficeConfig config, String requestId)
				throws RequestRejectedException;

	}

	/**
	 * Builds and starts a gateway. Not safe for use by several threads.
	 */
	public static final class Builder {

		private final String incarnation;

		private final Blackboard blackboard;

		private final RequestRunner runner;

		private final KeyCheck keyCheck;

		private Clock clock = Clock.systemUTC();

		private PrometheusRegistry registry = new PrometheusRegistry();

		private Duration callerIdleTimeout = Duration.ZERO;

		private Builder(String incarnation, Blackboard blackboard, RequestRunner runner, KeyCheck keyCheck) {
			this.incarnation = incarnation;
			this.blackboard = blackboard;
			this.runner = runner;
			this.keyCheck = keyCheck;
		}

		/**
		 * Sets the clock, the system clock by default.
		 * @param newClock the clock
		 * @return this builder
		 */
		public Builder clock(Clock newClock) {
			this.clock = newClock;
			return this;
		}

		/**
		 * Sets the registry for the metrics, a new one by default.
		 * @param newRegistry the registry
		 * @return this builder
		 */
		public Builder registry(PrometheusRegistry newRegistry) {
			this.registry = newRegistry;
			return this;
		}

		/**
		 * Sets how long a caller may send no more of its body, or receive no more of its
		 * response; unlimited by default.
		 * @param newTimeout the timeout, zero for none
		 * @return this builder
		 */
		public Builder callerIdleTimeout(Duration newTimeout) {
			this.callerIdleTimeout = newTimeout;
			return this;
		}

		/**
		 * Starts the gateway.
		 * @param host the IP number to bind
		 * @param port the port, 0 for any free one
		 * @return the running gateway
		 * @throws IOException if the port cannot be bound
		 */
		public HttpGateway start(String host, int port) throws IOException {
			return new HttpGateway(this, host, port);
		}

	}

}
