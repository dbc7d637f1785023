import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** A server: checks the instance that it is sent for, and answers with a few events. */
final class Engine implements AutoCloseable {

	private final HttpServer server;

	private final String id;

	private final Record record;

	private final int events;

	private final long gapMs;

	private final long bornMs = System.currentTimeMillis();

	/** The tenant of each request that ran, and how often. */
	final Map<String, Integer> runs = new ConcurrentHashMap<>();

	final Map<String, String> tenants = new ConcurrentHashMap<>();

	Engine(String host, String id, int events, long gapMs, Record record) throws IOException {
		this.id = id;
		this.events = events;
		this.gapMs = gapMs;
		this.record = record;
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), 0), 0);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, id);
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::run);
		this.server.createContext("/report", this::report);
		this.server.start();
	}

	String registration(String service) {
		return ("{'service':'%s','address':'%s:%d','zone':'san-antonio','version':'v1','slots':64,'state':'ready',"
				+ "'born':%d,'seq':1}")
			.formatted(service, this.server.getAddress().getAddress().getHostAddress(),
					this.server.getAddress().getPort(), this.bornMs)
			.replace('\'', '"');
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private void report(HttpExchange exchange) throws IOException {
		byte[] body = ("{\"running\":0,\"waiting\":0,\"kvUsed\":0,\"kvTotal\":340832,\"born\":" + this.bornMs + "}")
			.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(200, body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	private void run(HttpExchange exchange) throws IOException {
		int bodyBytes = exchange.getRequestBody().readAllBytes().length;
		String request = exchange.getRequestHeaders().getFirst(Wire.name("request.id"));
		if (request != null) {
			exchange.getResponseHeaders().add(Wire.name("request.id"), request);
		}
		String target = exchange.getRequestHeaders().getFirst(Wire.name("server.target"));
		if (request == null || (target != null && !target.equals(this.id))) {
			exchange.getResponseHeaders().add(Wire.name("server.notRun"), "1");
			exchange.sendResponseHeaders((request == null) ? 400 : 421, -1);
			exchange.close();
			return;
		}
		String tenant = exchange.getRequestHeaders().getFirst(Wire.name("server.tenant"));
		this.runs.merge(request, 1, Integer::sum);
		this.tenants.put(request, String.valueOf(tenant));
		this.record.line("server %s runs %s for %s, body %d bytes", this.id, request, tenant, bodyBytes);
		exchange.getResponseHeaders().add(Wire.name("server.seal"), "seal-" + request);
		exchange.getResponseHeaders().add("Content-Type", "text/event-stream");
		try {
			exchange.sendResponseHeaders(200, 0);
			try (OutputStream out = exchange.getResponseBody()) {
				for (int event = 1; event <= this.events; event++) {
					out.write(("id: " + event + "\ndata: token\n\n").getBytes(StandardCharsets.UTF_8));
					out.flush();
					Thread.sleep(this.gapMs);
				}
			}
			this.record.line("server %s ends %s", this.id, request);
		}
		catch (IOException ex) {
			this.record.line("server %s: the connection of %s broke: %s", this.id, request, ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

}
