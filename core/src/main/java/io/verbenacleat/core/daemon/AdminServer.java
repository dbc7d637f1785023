package io.verbenacleat.core.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The HTTP server of a daemon for health checks and metrics, with the paths
 * {@code /health/live}, {@code /health/ready} and {@code /metrics}. Safe for use by
 * several threads.
 */
public final class AdminServer implements AutoCloseable {

	private final HttpServer server;

	private AdminServer(HttpServer server) {
		this.server = server;
	}

	/**
	 * Starts the server.
	 * @param host the IP address to bind
	 * @param port the port, 0 for any free port
	 * @param registry the metrics to expose
	 * @param ready returns whether the daemon is ready for requests; called on server
	 * threads
	 * @return the running server
	 * @throws IOException if the port cannot be bound
	 */
	public static AdminServer start(String host, int port, PrometheusRegistry registry, BooleanSupplier ready)
			throws IOException {
		Jooby app = new Jooby();
		app.get("/health/live", (ctx) -> "live\n");
		app.get("/health/ready", (ctx) -> ready(ctx, ready));
		app.get("/metrics", (ctx) -> metrics(ctx, registry));
		ServerOptions options = new ServerOptions();
		options.setHost(host);
		options.setPort(port);
		options.setIoThreads(1);
		options.setWorkerThreads(2);
		return new AdminServer(HttpServer.start(app, options));
	}

	/**
	 * Returns the port that the server is bound to.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private static String ready(Context ctx, BooleanSupplier ready) {
		if (ready.getAsBoolean()) {
			return "ready\n";
		}
		ctx.setResponseCode(StatusCode.SERVICE_UNAVAILABLE);
		return "not ready\n";
	}

	private static String metrics(Context ctx, PrometheusRegistry registry) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		new PrometheusTextFormatWriter(false).write(out, registry.scrape());
		ctx.setResponseType(MediaType.valueOf(PrometheusTextFormatWriter.CONTENT_TYPE));
		return out.toString(StandardCharsets.UTF_8);
	}

}
