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
 * An HTTP server on the loopback interface whose answer a test writes. Safe for use by
 * several threads.
 */
public final class FakeBackend implements AutoCloseable {

	private final HttpServer server;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private volatile List<String> models = List.of();

	private final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();

	/**
	 * Starts a server.
	 * @param answer writes each answer; the exchange is closed after it
	 * @throws IOException when no port is free
	 */
	public FakeBackend(ResponseWriter answer) throws IOException {
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
				answer.write(exchange);
			}
			finally {
				exchange.close();
			}
		});
		this.server.start();
	}

	/**
	 * Makes the server report loaded models; these reads are not among the requests.
	 * @param names the models
	 * @return this server
	 */
	public FakeBackend withModels(String... names) {
		this.models = List.of(names);
		return this;
	}

	/**
	 * Writes the head of a chunked answer and some events.
	 * @param exchange the exchange
	 * @param events the data of the events
	 * @throws IOException when the client went away
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
	 * Returns a chunk with content.
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
	 * Returns the requests.
	 * @return the requests in the order in which they came
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
	 * Writes an answer.
	 */
	@FunctionalInterface
	public interface ResponseWriter {

		/**
		 * Writes an answer.
		 * @param exchange the exchange
		 * @throws IOException when the client went away
		 */
		void write(HttpExchange exchange) throws IOException;

	}

	/**
	 * A request.
	 *
	 * @param method the method
	 * @param uri the path and query
	 * @param headers the headers
	 * @param body the body
	 */
	public record ReceivedRequest(String method, String uri, Headers headers, String body) {
	}

}
