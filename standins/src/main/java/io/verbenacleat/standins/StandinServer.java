package io.verbenacleat.standins;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.verbenacleat.core.daemon.HttpServer;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;

/**
 * HTTP server of a stand-in on the loopback address. Closing it also shuts down the
 * timers that send delayed answers. Handlers must not block. Safe for use by several
 * threads.
 */
final class StandinServer implements Standin {

	private static final String HOST = "127.0.0.1";

	private static final int WORKER_THREADS = 8;

	private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

	private final HttpServer server;

	private final ScheduledExecutorService timers;

	private StandinServer(HttpServer server, ScheduledExecutorService timers) {
		this.server = server;
		this.timers = timers;
	}

	/**
	 * Starts a server.
	 * @param port the port, 0 for any free one
	 * @param timers the timers, shut down when the server is closed or fails to start
	 * @param routes adds the routes
	 * @return the running server
	 * @throws IllegalStateException when the port cannot be bound
	 */
	static StandinServer start(int port, ScheduledExecutorService timers, Routes routes) {
		Jooby app = new Jooby();
		app.error(StandinServer::sendError);
		routes.addTo(app);
		ServerOptions options = new ServerOptions();
		options.setHost(HOST);
		options.setPort(port);
		options.setIoThreads(2);
		options.setWorkerThreads(WORKER_THREADS);
		options.setMaxRequestSize(MAX_BODY_BYTES);
		try {
			return new StandinServer(HttpServer.start(app, options), timers);
		}
		catch (IOException ex) {
			timers.shutdownNow();
			throw new IllegalStateException(ex.getMessage(), ex);
		}
	}

	/**
	 * Creates a scheduler with one daemon thread.
	 * @param name the name of the thread
	 * @return the scheduler
	 */
	static ScheduledExecutorService newTimers(String name) {
		ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
		timers.setRemoveOnCancelPolicy(true);
		return timers;
	}

	/**
	 * Schedules a task; does nothing when the timers are shut down.
	 * @param timers the scheduler that runs the task
	 * @param delay the delay, zero or less for immediate execution
	 * @param task the task
	 */
	static void schedule(ScheduledExecutorService timers, Duration delay, Runnable task) {
		try {
			timers.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
		}
		catch (RejectedExecutionException ex) {
			// The stand-in was closed, so the request gets no answer.
		}
	}

	/**
	 * Sends a JSON answer.
	 * @param ctx the request to answer
	 * @param status the HTTP status
	 * @param body the value to write as JSON
	 * @return the same context
	 */
	static Context sendJson(Context ctx, int status, Object body) {
		ctx.setResponseCode(status);
		ctx.setResponseType(MediaType.json);
		return ctx.send(Json.write(body));
	}

	/**
	 * Reads the JSON body of a request.
	 * @param <T> the type of the value
	 * @param ctx the request
	 * @param type the class to read
	 * @return the value
	 * @throws JsonFormatException when the body is not JSON of this type
	 */
	static <T> T readBody(Context ctx, Class<T> type) throws JsonFormatException {
		return Json.read(ctx.body().value(""), type);
	}

	/**
	 * Returns the value of a request header.
	 * @param ctx the request
	 * @param name the name of the header
	 * @return the value, or an empty string when the header is absent
	 */
	static String header(Context ctx, String name) {
		return ctx.header(name).value("");
	}

	@Override
	public String url() {
		return "http://" + HOST + ":" + this.server.port();
	}

	@Override
	public void close() {
		this.timers.shutdownNow();
		this.server.close();
	}

	private static void sendError(Context ctx, Throwable cause, StatusCode code) {
		int status = (cause instanceof JsonFormatException || cause instanceof IllegalArgumentException) ? 400
				: code.value();
		String message = (cause.getMessage() != null) ? cause.getMessage() : cause.getClass().getSimpleName();
		sendJson(ctx, status, ErrorBody.of(message, status));
	}

	/**
	 * Adds the routes of a stand-in.
	 */
	@FunctionalInterface
	interface Routes {

		/**
		 * Adds the routes.
		 * @param app the application to extend
		 */
		void addTo(Jooby app);

	}

	/**
	 * Body of an error answer.
	 *
	 * @param error the description of the error
	 */
	record ErrorBody(ErrorDetail error) {

		/**
		 * Returns the body of an error answer.
		 * @param message the reason, one sentence
		 * @param status the HTTP status
		 * @return the body
		 */
		static ErrorBody of(String message, int status) {
			return new ErrorBody(new ErrorDetail(message, status));
		}

	}

	/**
	 * Description of an error.
	 *
	 * @param message the reason, one sentence
	 * @param code the HTTP status
	 */
	record ErrorDetail(String message, int code) {
	}

}
