package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in for the platform's store: tables of rows, transactions with conditions, and
 * the feed of changes, with 20 s of history. It answers each call.
 */
final class Store {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int LIMIT = 500;

	private static final long HISTORY_NANOS = 20_000_000_000L;

	private final HttpServer server;

	/** A second listener, for the machines that the store turns away at times. */
	private HttpServer second;

	private volatile boolean secondTurnedAway;

	private final TreeMap<String, ObjectNode> rows = new TreeMap<>();

	private final List<ObjectNode> history = new ArrayList<>();

	/** When the changes of the history were made, in the same order. */
	private final List<Long> historyNanos = new ArrayList<>();

	/** The newest version whose change is no longer in the history. */
	private long droppedVersion;

	private long version = 100;

	Store(String ip) throws IOException {
		this.server = listen(ip);
	}

	private HttpServer listen(String ip) throws IOException {
		HttpServer listener = HttpServer.create(new InetSocketAddress(ip, 0), 0);
		listener.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		listener.createContext(Wire.name("tx"), (exchange) -> handle(exchange, this::transact));
		listener.createContext(Wire.name("get"), (exchange) -> handle(exchange, this::read));
		listener.createContext(Wire.name("feed"), (exchange) -> handle(exchange, this::feed));
		listener.start();
		return listener;
	}

	/** Starts the second listener and returns its address. */
	String secondAddress(String ip) throws IOException {
		this.second = listen(ip);
		return ip;
	}

	int secondPort() {
		return this.second.getAddress().getPort();
	}

	/** Answers all calls at the second listener with 429, or serves them again. */
	void turnSecondAway(boolean away) {
		this.secondTurnedAway = away;
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	synchronized void put(String table, String key, String value) {
		ObjectNode row = MAPPER.createObjectNode();
		row.put("table", table).put("part", "").put("key", key);
		row.put("value", value.getBytes(StandardCharsets.UTF_8));
		append(row, ++this.version);
		notifyAll();
	}

	synchronized void remove(String table, String key) {
		drop(table, "", key, ++this.version);
		notifyAll();
	}

	private void append(ObjectNode row, long newVersion) {
		row.put(Wire.name("rowVersion"), newVersion);
		this.rows.put(name(row), row);
		record(row);
	}

	private void record(ObjectNode row) {
		this.history.add(row);
		this.historyNanos.add(System.nanoTime());
	}

	private void dropHistory() {
		long now = System.nanoTime();
		int count = 0;
		while (count < this.historyNanos.size() && now - this.historyNanos.get(count) > HISTORY_NANOS) {
			this.droppedVersion = this.history.get(count).path(Wire.name("rowVersion")).asLong();
			count++;
		}
		this.history.subList(0, count).clear();
		this.historyNanos.subList(0, count).clear();
	}

	private void drop(String table, String part, String key, long newVersion) {
		ObjectNode row = MAPPER.createObjectNode();
		row.put("table", table).put("part", part).put("key", key).put("deleted", true);
		row.put(Wire.name("rowVersion"), newVersion);
		this.rows.remove(name(row));
		record(row);
	}

	private static String name(JsonNode row) {
		return row.path("table").asText() + "\n" + row.path("part").asText() + "\n" + row.path("key").asText();
	}

	private void handle(HttpExchange exchange, Handler handler) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		if (this.secondTurnedAway && exchange.getHttpContext().getServer() == this.second) {
			exchange.sendResponseHeaders(429, -1);
			exchange.close();
			return;
		}
		ObjectNode answer = MAPPER.createObjectNode();
		int status;
		try {
			Thread.sleep(3);
			status = handler.handle(parameters(exchange), body, answer);
		}
		catch (InterruptedException ex) {
			status = 503;
		}
		byte[] bytes = MAPPER.writeValueAsBytes(answer);
		exchange.getResponseHeaders().add("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private synchronized int transact(Map<String, String> parameters, byte[] body, ObjectNode answer)
			throws IOException {
		JsonNode call = MAPPER.readTree(body);
		boolean failed = false;
		List<ObjectNode> present = new ArrayList<>();
		for (JsonNode condition : call.path(Wire.name("conditions"))) {
			ObjectNode row = this.rows.get(name(condition));
			long actual = (row != null) ? row.path(Wire.name("rowVersion")).asLong() : 0;
			failed |= actual != condition.path(Wire.name("rowVersion")).asLong();
			if (row != null) {
				present.add(row);
			}
		}
		answer.put("nowMs", System.nanoTime() / 1_000_000);
		if (failed) {
			ArrayNode list = answer.putArray("rows");
			present.forEach(list::add);
			answer.put(Wire.name("rowVersion"), this.version);
			return 412;
		}
		this.version++;
		for (JsonNode put : call.path("upserts")) {
			append(put.deepCopy(), this.version);
		}
		for (JsonNode remove : call.path("remove")) {
			drop(remove.path("table").asText(), remove.path("part").asText(), remove.path("key").asText(),
					this.version);
		}
		answer.put(Wire.name("rowVersion"), this.version);
		notifyAll();
		return 200;
	}

	private synchronized int read(Map<String, String> parameters, byte[] body, ObjectNode answer) {
		ArrayNode found = answer.putArray("rows");
		String from = parameters.getOrDefault("from", "");
		String to = parameters.getOrDefault("to", "");
		int limit = Math.min(LIMIT, Integer.parseInt(parameters.getOrDefault("limit", "500")));
		boolean more = false;
		for (ObjectNode row : this.rows.values()) {
			String key = row.path("key").asText();
			boolean matches = row.path("table").asText().equals(parameters.get("table"))
					&& row.path("part").asText().equals(parameters.getOrDefault("part", ""))
					&& key.compareTo(from) >= 0 && (to.isEmpty() || key.compareTo(to) < 0);
			if (matches && found.size() == limit) {
				more = true;
			}
			else if (matches) {
				found.add(row);
			}
		}
		answer.put("hasMore", more).put(Wire.name("rowVersion"), this.version);
		answer.put("nowMs", System.nanoTime() / 1_000_000);
		return 200;
	}

	private synchronized int feed(Map<String, String> parameters, byte[] body, ObjectNode answer)
			throws InterruptedException {
		long after = Long.parseLong(parameters.getOrDefault(Wire.name("after"), "0"));
		long endMs = System.nanoTime() / 1_000_000 + Long.parseLong(parameters.getOrDefault("waitMs", "0"));
		ArrayNode found = answer.putArray("rows");
		while (true) {
			dropHistory();
			if (after < this.droppedVersion) {
				return 410;
			}
			for (ObjectNode row : this.history) {
				if (row.path(Wire.name("rowVersion")).asLong() > after
						&& row.path("table").asText().equals(parameters.get("table"))) {
					found.add(row);
				}
			}
			long leftMs = endMs - System.nanoTime() / 1_000_000;
			if (!found.isEmpty() || leftMs <= 0) {
				answer.put(Wire.name("rowVersion"), this.version).put("nowMs", System.nanoTime() / 1_000_000);
				return 200;
			}
			wait(Math.max(1, leftMs));
		}
	}

	private static Map<String, String> parameters(HttpExchange exchange) {
		Map<String, String> parameters = new HashMap<>();
		String query = exchange.getRequestURI().getRawQuery();
		for (String pair : ((query != null) ? query : "").split("&", -1)) {
			String[] parts = pair.split("=", 2);
			if (parts.length == 2) {
				parameters.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
			}
		}
		return parameters;
	}

	private interface Handler {

		int handle(Map<String, String> parameters, byte[] body, ObjectNode answer)
				throws IOException, InterruptedException;

	}

}
