package io.verbenacleat.agent.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * HTTP server on the loopback interface whose responses the test writes. Records the
 * requests. Safe for use by several threads.
 */
public final class FakeBackend implements AutoCloseable {

	private final HttpServer server;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private volatile List<String> models = List.of();

	private final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();

	/**
	 * Starts a server.
	 * @param responseWriter writes each response, after which the exchange is closed
	 * @throws IOException when no port is free
	 */
	public FakeBackend(ResponseWriter responseWriter) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.setExecutor(this.executor);
		this.server.createContext("/", (exchange) -> {
			if (exchange.getRequestURI().getPath().equals("/v1/models") && !this.models.isEmpty()) {
				writeModels(exchange);
				return;
			}
			byte[] body = exchange.getRequestBody().readAllBytes();
			this.received.add(new ReceivedRequest(exchange.getRequestMethod(), exchange.getRequestURI().toString(),
					exchange.getRequestHeaders(), new String(body, StandardCharsets.UTF_8)));
			try {
				responseWriter.write(exchange);
			}
			finally {
				exchange.close();
			}
		});
		this.server.start();
	}

	/**
	 * Makes the server list loaded models on {@code /v1/models}. Reads of the list are
	 * not recorded.
	 * @param names the names of the models
	 * @return this server
	 */
	public FakeBackend withModels(String... names) {
		this.models = List.of(names);
		return this;
	}

	/**
	 * Writes server-sent events, after the response head if it has not been sent.
	 * @param exchange the exchange
	 * @param events the data of the events
	 * @throws IOException when the client disconnected
	 */
	public static void writeEvents(HttpExchange exchange, String... events) throws IOException {
		if (exchange.getResponseCode() < 0) {
			exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
			exchange.sendResponseHeaders(200, 0);
		}
		for (String event : events) {
			exchange.getResponseBody().write(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
		}
		exchange.getResponseBody().flush();
	}

	/**
	 * Returns a chunk of a chat completion.
	 * @param text the content
	 * @return the JSON
	 */
	public static String chunk(String text) {
		return "{\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}";
	}

	/**
	 * Returns the base URL.
	 * @return the URL
	 */
	public String url() {
		return "http://127.0.0.1:" + this.server.getAddress().getPort();
	}

	/**
	 * Returns the recorded requests.
	 * @return the requests in the order of their arrival
	 */
	public List<ReceivedRequest> received() {
		return this.received;
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	private void writeModels(HttpExchange exchange) throws IOException {
		String data = this.models.stream().map("{\"id\":\"%s\"}"::formatted).collect(Collectors.joining(","));
		byte[] body = ("{\"object\":\"list\",\"data\":[" + data + "]}").getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(200, body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	/**
	 * Writes responses.
	 */
	@FunctionalInterface
	public interface ResponseWriter {

		/**
		 * Writes the response to one request.
		 * @param exchange the exchange
		 * @throws IOException when the client disconnected
		 */
		void write(HttpExchange exchange) throws IOException;

	}

	/**
	 * Recorded request.
	 *
	 * @param method the method
	 * @param uri the path and query
	 * @param headers the headers
	 * @param body the body
	 */
	public record ReceivedRequest(String method, String uri, Headers headers, String body) {
	}

}
