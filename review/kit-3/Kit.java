package io.verbenacleat.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Properties;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parts of the cases of review 3: settings, router processes, raw clients and servers, and
 * the record. The names on the wire stand in text files beside this one.
 */
final class Kit {

	static final Path DIR = Path.of("review/kit-3");

	static final Properties NAMES = names();

	private static final long START_NANOS = System.nanoTime();

	private static final int FIRST_PORT = 20_000;

	private static final int PORTS = 12_000;

	private static int nextPort = (int) (ProcessHandle.current().pid() * 101 % PORTS);

	private Kit() {
	}

	private static Properties names() {
		Properties loaded = new Properties();
		try (InputStream in = Files.newInputStream(DIR.resolve("names.properties"))) {
			loaded.load(in);
			return loaded;
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static String name(String key) {
		return NAMES.getProperty(key);
	}

	static String template(String file, Map<String, String> values) throws IOException {
		String text = Files.readString(DIR.resolve(file));
		for (Map.Entry<String, String> value : values.entrySet()) {
			text = text.replace("{" + value.getKey() + "}", value.getValue());
		}
		return text;
	}

	static String registration(String service, int port, int slots, String state, int seq, long born)
			throws IOException {
		return template("registration.json",
				Map.of("service", service, "address", "127.0.0.1:" + port, "slots", "" + slots, "state", state, "seq",
						"" + seq, "born", "" + born));
	}

	static String config(long version, long prepaid) throws IOException {
		return config(version, prepaid, 64, 340_832);
	}

	static String config(long version, long prepaid, int slots, int kvTokens) throws IOException {
		return template("config.json", Map.of("version", "" + version, "prepaid", "" + prepaid, "slots", "" + slots,
				"kv", "" + kvTokens));
	}

	static long nowMs() {
		return (System.nanoTime() - START_NANOS) / 1_000_000;
	}

	static void sleep(long ms) {
		try {
			Thread.sleep(Math.max(0, ms));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/**
	 * Returns a port on which nothing listens. Each port is returned once, and processes
	 * that run at the same time begin at different ones. The ports lie below those that
	 * outgoing connections get.
	 */
	static synchronized int freePort() throws IOException {
		for (int i = 0; i < PORTS; i++) {
			int port = FIRST_PORT + nextPort++ % PORTS;
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// Taken.
			}
		}
		throw new IOException("no free port");
	}

	/** The lines of record.txt, with the time since the start of the case. */
	static final class Record implements AutoCloseable {

		private final StringBuilder text = new StringBuilder();

		private final Path file;

		Record(Path file) {
			this.file = file;
		}

		synchronized void add(String line) {
			this.text.append(String.format(Locale.ROOT, "%7d ms  %s%n", nowMs(), line));
		}

		void say(String line) {
			add(line);
			System.out.println(line);
		}

		@Override
		public synchronized void close() throws IOException {
			Files.writeString(this.file, this.text.toString());
		}

	}

	/** A router, started with the command of the deploy file. */
	static final class Router implements AutoCloseable {

		final String name;

		final int front = freePort();

		final int ready = freePort();

		final int control = freePort();

		private final Path dir;

		private final int storePort;

		private Process process;

		Router(String name, int storePort) throws IOException {
			this.name = name;
			this.storePort = storePort;
			this.dir = Files.createTempDirectory("review3-" + name);
			Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		}

		void start(boolean bootstrap, String... seeds) throws IOException {
			StringBuilder list = new StringBuilder();
			for (String seed : seeds) {
				list.append((list.length() > 0) ? "," : "").append('"').append(seed).append('"');
			}
			Path settings = this.dir.resolve("boot.toml");
			Files.writeString(settings,
					template("settings.toml",
							Map.of("node", this.name, "ip", "127.0.0.1", "seeds", list.toString(), "bootstrap",
									"" + bootstrap, "front", "" + this.front, "ready", "" + this.ready, "control",
									"" + this.control, "store", "127.0.0.1:" + this.storePort)));
			Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
			if (!run.find()) {
				throw new IOException("no run command");
			}
			List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
			command.addAll(List.of("--metrics-port", "0"));
			ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.dir.resolve("output.log").toFile()));
			builder.environment().put(name("settings.variable"), settings.toString());
			this.process = builder.start();
		}

		long pid() {
			return this.process.pid();
		}

		boolean isAlive() {
			return this.process.isAlive();
		}

		void signal(String signal) throws IOException, InterruptedException {
			new ProcessBuilder("kill", "-" + signal, "" + pid()).start().waitFor();
		}

		void kill() throws InterruptedException {
			this.process.destroyForcibly().waitFor();
		}

		int term(long timeoutMs) throws InterruptedException {
			this.process.destroy();
			return this.process.waitFor(timeoutMs, TimeUnit.MILLISECONDS) ? this.process.exitValue() : -1;
		}

		String output() throws IOException {
			return Files.readString(this.dir.resolve("output.log"));
		}

		boolean awaitReady(long timeoutMs) {
			long end = nowMs() + timeoutMs;
			while (nowMs() < end && isAlive()) {
				if (isReady()) {
					return true;
				}
				sleep(50);
			}
			return false;
		}

		boolean isReady() {
			try (Client client = new Client(this.ready)) {
				client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", null);
				return client.read(2_000).status == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		@Override
		public void close() {
			Process running = this.process;
			if (running != null) {
				running.destroyForcibly();
			}
		}

	}

	/** A response, or how it failed. */
	static final class Answer {

		int status;

		Map<String, String> headers = new LinkedHashMap<>();

		byte[] body = new byte[0];

		boolean complete;

		String failure = "";

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

	}

	/** A connection of a client. */
	static final class Client implements AutoCloseable {

		final Socket socket;

		final InputStream in;

		final OutputStream out;

		Client(int port) throws IOException {
			this.socket = new Socket();
			this.socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
			this.socket.setTcpNoDelay(true);
			this.in = new BufferedInputStream(this.socket.getInputStream(), 65_536);
			this.out = this.socket.getOutputStream();
		}

		void send(String head, byte[] body) throws IOException {
			this.out.write(head.getBytes(StandardCharsets.ISO_8859_1));
			if (body != null) {
				this.out.write(body);
			}
			this.out.flush();
		}

		Answer read(int timeoutMs) {
			Answer answer = new Answer();
			try {
				this.socket.setSoTimeout(timeoutMs);
				readAnswer(answer);
			}
			catch (IOException | RuntimeException ex) {
				answer.failure = ex.getClass().getSimpleName() + ": " + ex.getMessage();
			}
			return answer;
		}

		private void readAnswer(Answer answer) throws IOException {
			String line = line(this.in);
			answer.status = Integer.parseInt(line.split(" ")[1]);
			while (!(line = line(this.in)).isEmpty()) {
				int colon = line.indexOf(':');
				answer.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			}
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			try {
				if (answer.header("transfer-encoding").equals("chunked")) {
					int size;
					while ((size = Integer.parseInt(line(this.in).strip(), 16)) > 0) {
						copy(body, size);
						line(this.in);
					}
					line(this.in);
				}
				else {
					copy(body, Integer.parseInt(answer.headers.getOrDefault("content-length", "0")));
				}
				answer.complete = true;
			}
			finally {
				answer.body = body.toByteArray();
			}
		}

		private void copy(ByteArrayOutputStream body, int count) throws IOException {
			for (int i = 0; i < count; i++) {
				int next = this.in.read();
				if (next < 0) {
					throw new IOException("closed inside the body");
				}
				body.write(next);
			}
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		while (true) {
			int next = in.read();
			if (next < 0) {
				throw new IOException((line.length() == 0) ? "closed" : "closed inside a line");
			}
			if (next == '\n') {
				return line.toString();
			}
			if (next != '\r') {
				line.append((char) next);
			}
		}
	}

	/**
	 * Waits as a server does that drops a request when its connection closes. Nothing else
	 * may arrive meanwhile.
	 */
	static void sleepWhileOpen(Socket socket, long ms) throws IOException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
		try {
			long leftMs;
			while ((leftMs = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) > 0) {
				socket.setSoTimeout((int) leftMs);
				try {
					int next = socket.getInputStream().read();
					throw new IOException((next < 0) ? "the caller has closed the connection" : "unexpected byte");
				}
				catch (SocketTimeoutException ex) {
					// Still open.
				}
			}
		}
		finally {
			socket.setSoTimeout(0);
		}
	}

	/** A request as a server has read it. */
	record Request(String method, String path, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		String id() {
			return header(name("header.id"));
		}

	}

	interface Handler {

		/** Returns whether the connection stays open. */
		boolean handle(Request request, Socket socket, OutputStream out) throws IOException, InterruptedException;

	}

	/** A server that reads whole requests and hands them to a handler. */
	static final class Server implements AutoCloseable {

		final ServerSocket listener;

		private final Handler handler;

		final List<Socket> open = new ArrayList<>();

		/** Whether the next connection is accepted; otherwise it is reset. */
		volatile BooleanSupplier admission = () -> true;

		Server(Handler handler) throws IOException {
			this.listener = new ServerSocket(freePort(), 1_024, InetAddress.getByName("127.0.0.1"));
			this.handler = handler;
			daemon(this::accept);
		}

		int port() {
			return this.listener.getLocalPort();
		}

		private void accept() {
			while (!this.listener.isClosed()) {
				try {
					Socket socket = this.listener.accept();
					if (!this.admission.getAsBoolean()) {
						socket.setSoLinger(true, 0);
						socket.close();
						continue;
					}
					socket.setTcpNoDelay(true);
					synchronized (this.open) {
						this.open.add(socket);
					}
					daemon(() -> serve(socket));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
				OutputStream out = socket.getOutputStream();
				boolean open = true;
				while (open) {
					open = this.handler.handle(readRequest(in), socket, out);
				}
			}
			catch (IOException | RuntimeException ex) {
				// The connection has ended.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private static Request readRequest(InputStream in) throws IOException {
			String[] start = line(in).split(" ");
			Map<String, String> headers = new LinkedHashMap<>();
			String line;
			while (!(line = line(in)).isEmpty()) {
				int colon = line.indexOf(':');
				headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			}
			byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
			return new Request(start[0], start[1], headers, body);
		}

		@Override
		public void close() throws IOException {
			this.listener.close();
			synchronized (this.open) {
				for (Socket socket : this.open) {
					socket.close();
				}
			}
		}

	}

	static String answerHead(int status, String id, String more, int length) {
		return "HTTP/1.1 " + status + " S\r\n" + (id.isEmpty() ? "" : name("header.id") + ": " + id + "\r\n")
				+ name("header.seal") + ": seal-" + id + "\r\n" + more
				+ ((length >= 0) ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
	}

	static String requestHead(String method, String path, String id, long deadlineMs, int length, String more) {
		return method + " " + path + " HTTP/1.1\r\nHost: svc.example\r\n" + name("header.id") + ": " + id + "\r\n"
				+ name("header.deadline") + ": " + deadlineMs + "\r\n" + name("header.key") + ": key1\r\n" + more
				+ ((length > 0) ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
	}

}
