package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Clients send HEAD and GET requests in turn on kept connections while a new version of
 * the configuration removes the route of the HEAD requests. Shows whether a client gets
 * bytes that are no answer where the answer to its next request is due.
 */
final class HeadCase implements Main.Case {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int CLIENTS = 4;

	private static final long PAUSE_MS = 100;

	@Override
	public int run(Record record, Path folder, boolean trouble) throws Exception {
		Store store = new Store(Main.ip(1));
		store.put("op", "config", config(7, true));
		List<Server> servers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			servers.add(new Server("i-" + i, Main.ip(11 + i), new Desk(record)));
		}
		Link.daemon(() -> beat(store, servers));
		try (Router router = new Router(folder, "front-0", Main.ip(21), Main.ip(1) + ":" + store.port(),
				List.of(Main.ip(21)))) {
			router.start();
			if (!router.awaitReady(30_000)) {
				return Main.NOT_RUN;
			}
			Thread.sleep(1_500);
			return play(record, router, store, trouble);
		}
	}

	private static int play(Record record, Router router, Store store, boolean trouble) throws Exception {
		List<String> results = new CopyOnWriteArrayList<>();
		boolean[] running = { true };
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			String name = "h" + i;
			Thread client = new Thread(() -> call(record, router, name, results, running));
			client.start();
			clients.add(client);
		}
		Thread.sleep(4_000);
		if (trouble) {
			record.add("trouble: version 8 of the configuration removes the route /status/");
			store.put("op", "config", config(8, false));
		}
		Thread.sleep(4_000);
		running[0] = false;
		for (Thread client : clients) {
			client.join();
		}
		long spoiled = results.stream().filter((result) -> result.equals("no answer")).count();
		long wrong = results.stream().filter((result) -> result.equals("other answer")).count();
		long served = results.stream().filter((result) -> result.equals("200")).count();
		long dropped = results.stream().filter((result) -> result.equals("404")).count();
		record.result(String.format(Locale.ROOT,
				"%d requests: %d answered 200, %d answered 404, %d times bytes that are no answer, %d answers of another request",
				results.size(), served, dropped, spoiled, wrong));
		if (spoiled + wrong > 0) {
			return Main.BROKEN;
		}
		return (served > 0) ? Main.HELD : Main.NOT_RUN;
	}

	private static void call(Record record, Router router, String name, List<String> results, boolean[] running) {
		Caller caller = null;
		for (int i = 0; running[0]; i++) {
			boolean head = i % 2 == 0;
			String id = name + "x" + i;
			String result;
			try {
				if (caller == null) {
					caller = new Caller(router.ip, 8740, 0);
				}
				caller.send(head ? "HEAD" : "GET", head ? "/status/1" : "/price/1", id, "key-a", 4_000, "", "");
				record.add((head ? "HEAD" : "GET") + " request " + id + " sent");
				Http.Head answer = Http.head(caller.in);
				if (answer == null) {
					result = "closed";
				}
				else if (answer.status() < 0) {
					result = "no answer";
					record.add("request " + id + ": the client reads: " + answer.start());
				}
				else {
					if (!head) {
						Http.body(answer, caller.in);
					}
					String echoed = answer.header("requestId");
					boolean own = answer.status() != 200 || id.equals(echoed);
					result = own ? Integer.toString(answer.status()) : "other answer";
				}
				if (result.equals("no answer") || result.equals("closed")
						|| (answer != null && answer.headers().getOrDefault("connection", "").equals("close"))) {
					caller.close();
					caller = null;
				}
			}
			catch (IOException | RuntimeException ex) {
				result = "failed " + ex.getMessage();
				caller = null;
			}
			record.add("request " + id + " got " + result);
			results.add(result);
			try {
				Thread.sleep(PAUSE_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private static String config(long version, boolean withStatus) throws IOException {
		ObjectNode config = (ObjectNode) MAPPER.readTree(Wire.text("config.json")
			.replace("@VERSION@", Long.toString(version))
			.replace("@PLAINTIMEOUT@", "2000")
			.replace("@TENANTS@", "{\"name\":\"t\",\"apiKeys\":[\"key-a\"],\"priority\":1}"));
		if (!withStatus) {
			var routes = config.withArray("routes");
			for (int i = routes.size() - 1; i >= 0; i--) {
				JsonNode route = routes.get(i);
				if (route.path("name").asText().equals("r-status")) {
					routes.remove(i);
				}
			}
		}
		return config.toString();
	}

	private static void beat(Store store, List<Server> servers) {
		for (int beat = 1;; beat++) {
			for (Server server : servers) {
				store.put("servers", server.id, server.entry("desk", 6, "ready", beat));
			}
			try {
				Thread.sleep(1_200);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private record Desk(Record record) implements Server.Handler {

		@Override
		public boolean handle(Server server, Http.Head head, byte[] body, OutputStream out) throws IOException {
			this.record.add("server " + server.id + " runs " + head.header("requestId"));
			byte[] answer = "price".getBytes(StandardCharsets.ISO_8859_1);
			out.write((Server.answerHead(head) + "Content-Length: " + answer.length + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			if (!head.start().startsWith("HEAD ")) {
				out.write(answer);
			}
			return true;
		}

	}

}
