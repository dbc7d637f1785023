import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's store: rows in tables, atomic transactions with conditions, and a feed of
 * changes. A call of more than 100 entries is refused with 400, and nothing is done.
 */
final class Store implements AutoCloseable {

	private static final int MAX_ENTRIES = 100;

	private static final int PAGE_ROWS = 500;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final HttpServer server;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final Record record;

	private final TreeMap<String, ObjectNode> rows = new TreeMap<>();

	private final List<ObjectNode> history = new ArrayList<>();

	private long version;

	final AtomicInteger applied = new AtomicInteger();

	final AtomicInteger tooLarge = new AtomicInteger();

	final AtomicInteger conflicts = new AtomicInteger();

	Store(String host, Record record) throws IOException {
		this.record = record;
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), 0), 0);
		this.server.setExecutor(this.executor);
		this.server.createContext(Wire.name("store.transact"), (exchange) -> handle(exchange, this::transact));
		this.server.createContext(Wire.name("store.read"), (exchange) -> handle(exchange, this::read));
		this.server.createContext(Wire.name("store.feed"), (exchange) -> handle(exchange, this::feed));
		this.server.start();
	}

	String address() {
		return this.server.getAddress().getAddress().getHostAddress() + ":" + this.server.getAddress().getPort();
	}

	/** Writes a row as the operator or a server does. */
	synchronized void put(String table, String key, String value) {
		ObjectNode row = JSON.createObjectNode();
		row.put("table", table).put("part", "").put("key", key);
		row.put("value", value.getBytes(StandardCharsets.UTF_8));
		this.version++;
		add(row);
		notifyAll();
		this.record.line("store: %s/%s written", table, key);
	}

	synchronized boolean has(String table, String key) {
		return this.rows.containsKey(table + "/" + key);
	}

	/** Returns the values of the rows of a table by key. */
	synchronized Map<String, String> values(String table) throws IOException {
		Map<String, String> found = new TreeMap<>();
		for (ObjectNode row : this.rows.values()) {
			if (row.path("table").asText().equals(table)) {
				found.put(row.path("key").asText(), new String(row.path("value").binaryValue(), StandardCharsets.UTF_8));
			}
		}
		return found;
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	private void add(ObjectNode row) {
		row.put(Wire.name("store.version"), this.version);
		this.rows.put(name(row), row);
		this.history.add(row);
	}

	private static String name(JsonNode row) {
		return row.path("table").asText() + "/" + row.path("key").asText();
	}

	private void handle(HttpExchange exchange, Handler handler) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		ObjectNode answer = JSON.createObjectNode();
		int status = handler.handle(parameters(exchange), body, answer);
		byte[] bytes = JSON.writeValueAsBytes(answer);
		exchange.getResponseHeaders().add("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private synchronized int transact(Map<String, String> parameters, byte[] body, ObjectNode answer)
			throws IOException {
		JsonNode call = JSON.readTree(body);
		JsonNode conditions = call.path(Wire.name("store.conditions"));
		JsonNode puts = call.path(Wire.name("store.puts"));
		JsonNode deletes = call.path(Wire.name("store.deletes"));
		int entries = conditions.size() + puts.size() + deletes.size();
		if (entries > MAX_ENTRIES) {
			if (this.tooLarge.incrementAndGet() <= 20) {
				this.record.line("store: refuses a call of %d entries, over the %d that a call may hold", entries,
						MAX_ENTRIES);
			}
			answer.put("error", "more than " + MAX_ENTRIES + " entries");
			return 400;
		}
		ArrayNode current = answer.putArray("rows");
		boolean holds = true;
		for (JsonNode condition : conditions) {
			ObjectNode row = this.rows.get(name(condition));
			long actual = (row != null) ? row.path(Wire.name("store.version")).asLong() : 0;
			holds &= actual == condition.path(Wire.name("store.version")).asLong();
			if (row != null) {
				current.add(row);
			}
		}
		answer.put("nowMs", nowMs());
		if (!holds) {
			this.conflicts.incrementAndGet();
			answer.put(Wire.name("store.version"), this.version);
			return 412;
		}
		current.removeAll();
		this.version++;
		for (JsonNode put : puts) {
			add(put.deepCopy());
		}
		for (JsonNode delete : deletes) {
			ObjectNode row = delete.deepCopy();
			row.put("deleted", true).put(Wire.name("store.version"), this.version);
			this.rows.remove(name(row));
			this.history.add(row);
		}
		this.applied.incrementAndGet();
		answer.put(Wire.name("store.version"), this.version);
		notifyAll();
		return 200;
	}

	private synchronized int read(Map<String, String> parameters, byte[] body, ObjectNode answer) {
		ArrayNode found = answer.putArray("rows");
		String from = parameters.getOrDefault("from", "");
		String to = parameters.getOrDefault("to", "");
		int limit = Math.min(PAGE_ROWS, Integer.parseInt(parameters.getOrDefault("limit", "500")));
		boolean more = false;
		for (ObjectNode row : this.rows.values()) {
			String key = row.path("key").asText();
			if (row.path("table").asText().equals(parameters.get("table")) && key.compareTo(from) >= 0
					&& (to.isEmpty() || key.compareTo(to) < 0)) {
				more |= found.size() == limit;
				if (found.size() < limit) {
					found.add(row);
				}
			}
		}
		answer.put("hasMore", more).put(Wire.name("store.version"), this.version).put("nowMs", nowMs());
		return 200;
	}

	private synchronized int feed(Map<String, String> parameters, byte[] body, ObjectNode answer) {
		long after = Long.parseLong(parameters.getOrDefault(Wire.name("store.after"), "0"));
		long endMs = nowMs() + Long.parseLong(parameters.getOrDefault("waitMs", "0"));
		ArrayNode found = answer.putArray("rows");
		while (true) {
			for (ObjectNode row : this.history) {
				if (row.path(Wire.name("store.version")).asLong() > after
						&& row.path("table").asText().equals(parameters.get("table"))) {
					found.add(row);
				}
			}
			long leftMs = endMs - nowMs();
			if (!found.isEmpty() || leftMs <= 0) {
				answer.put(Wire.name("store.version"), this.version).put("nowMs", nowMs());
				return 200;
			}
			try {
				wait(leftMs);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return 503;
			}
		}
	}

	private static long nowMs() {
		return System.nanoTime() / 1_000_000;
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

		int handle(Map<String, String> parameters, byte[] body, ObjectNode answer) throws IOException;

	}

}
