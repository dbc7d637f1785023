package io.verbenacleat.router.relay;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import io.verbenacleat.router.server.BackendServer;

/**
 * Backend server whose responses are scripted as raw bytes. Thread safe.
 */
final class FakeServer implements AutoCloseable {

	final List<String> requests = new CopyOnWriteArrayList<>();

	final List<Socket> connections = new CopyOnWriteArrayList<>();

	/** Connections that the kernel still completes when nobody accepts them. */
	private static final int MIN_BACKLOG = 1;

	private static final int BACKLOG = 50;

	private static final int CONNECT_TIMEOUT_MS = 100;

	private volatile ServerSocket socket;

	private Thread acceptor;

	private volatile long startedAtMs = 1;

	private final List<Closeable> unaccepted = new ArrayList<>();

	private volatile boolean ending;

	private final AtomicInteger accepted = new AtomicInteger();

	private final String id;

	private final String version;

	private final Script script;

	/** Whether bodies of requests are left to the script. */
	private final boolean headsOnly;

	FakeServer(String id, Script script) throws IOException {
		this(id, "v1", script);
	}

	FakeServer(String id, String version, Script script) throws IOException {
		this(id, version, script, false);
	}

	/**
	 * Starts a server that reads the heads of requests and leaves their bodies to its
	 * script.
	 * @param id the id of the server
	 * @param script the script
	 * @return the server
	 * @throws IOException if no address can be bound
	 */
	static FakeServer readingHeads(String id, Script script) throws IOException {
		return new FakeServer(id, "v1", script, true);
	}

	private FakeServer(String id, String version, Script script, boolean headsOnly) throws IOException {
		this.headsOnly = headsOnly;
		this.id = id;
		this.version = version;
		this.script = script;
		this.socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
		this.acceptor = startAccepting();
	}

	private Thread startAccepting() {
		Thread thread = new Thread(this::accept, "fake-server");
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	BackendServer registration() {
		return new BackendServer(this.id, this.startedAtMs, "s", "127.0.0.1", this.socket.getLocalPort(), "z", 8,
				this.version, false);
	}

	@Override
	public void close() throws IOException {
		closeAll(this.unaccepted);
		this.socket.close();
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

	/**
	 * Ends the server as the end of a process does: first it accepts no connections, then
	 * its connections are closed.
	 * @throws IOException if a socket cannot be closed
	 */
	void crash() throws IOException {
		this.socket.close();
		while (this.acceptor.isAlive()) {
			Thread.onSpinWait();
		}
		close();
	}

	/**
	 * Ends the process and starts another one at the same address before the connections
	 * are closed, so that a new connection is accepted at any time.
	 * @throws IOException if a socket cannot be closed or opened
	 */
	void restart() throws IOException {
		int port = this.socket.getLocalPort();
		this.socket.close();
		while (this.acceptor.isAlive()) {
			Thread.onSpinWait();
		}
		this.startedAtMs++;
		this.socket = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
		this.acceptor = startAccepting();
		closeAll(this.connections);
		this.connections.clear();
	}

	/**
	 * Resets all further connections as soon as they are accepted. The kernel does this
	 * while a process with a full backlog ends.
	 */
	void startEnding() {
		this.ending = true;
	}

	/**
	 * Accepts further connections again.
	 */
	void stopEnding() {
		this.ending = false;
	}

	/**
	 * Refuses further connections and serves the open ones.
	 * @throws IOException if the socket cannot be closed
	 */
	void stopListening() throws IOException {
		this.socket.close();
	}

	/**
	 * Closes all open connections.
	 * @throws IOException if a connection cannot be closed
	 */
	void closeConnections() throws IOException {
		closeAll(this.connections);
	}

	/**
	 * Returns how many connections were accepted, including those that were reset.
	 * @return the number
	 */
	int acceptedCount() {
		return this.accepted.get();
	}

	/**
	 * Ends the server and lets its address accept no connections and refuse none, like a
	 * host that has lost power.
	 * @throws IOException if a socket cannot be closed or opened
	 */
	void loseHost() throws IOException {
		int port = this.socket.getLocalPort();
		InetAddress address = this.socket.getInetAddress();
		this.socket.close();
		while (this.acceptor.isAlive()) {
			Thread.onSpinWait();
		}
		ServerSocket silent = new ServerSocket(port, MIN_BACKLOG, address);
		this.unaccepted.add(silent);
		boolean full = false;
		while (!full) {
			Socket filler = new Socket();
			this.unaccepted.add(filler);
			try {
				filler.connect(new InetSocketAddress(address, port), CONNECT_TIMEOUT_MS);
			}
			catch (SocketTimeoutException ex) {
				full = true;
			}
		}
		// Last, since the router tries to connect as soon as one of them is closed.
		closeAll(this.connections);
	}

	private static void closeAll(List<? extends Closeable> sockets) throws IOException {
		for (Closeable each : sockets) {
			each.close();
		}
	}

	/**
	 * Returns a complete response that echoes the id of a request.
	 * @param request the request
	 * @param status the status code and reason phrase
	 * @param body the body
	 * @return the bytes as text
	 */
	static String answer(String request, String status, String body) {
		return "HTTP/1.1 " + status + "\r\nTest-Id: " + header(request, "test-id") + "\r\nContent-Length: "
				+ body.length() + "\r\n\r\n" + body;
	}

	/**
	 * Returns the head of a chunked event stream.
	 * @param request the request
	 * @return the bytes as text
	 */
	static String streamHead(String request) {
		return "HTTP/1.1 200 OK\r\nTest-Id: " + header(request, "test-id")
				+ "\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n";
	}

	static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	static String header(String request, String name) {
		for (String line : request.split("\r\n", -1)) {
			if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
				return line.substring(name.length() + 1).strip();
			}
		}
		return "";
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket connection = this.socket.accept();
				this.accepted.incrementAndGet();
				if (this.ending) {
					connection.setSoLinger(true, 0);
					connection.close();
					continue;
				}
				this.connections.add(connection);
				Thread reader = new Thread(() -> serve(connection), "fake-server-connection");
				reader.setDaemon(true);
				reader.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			String request = read(connection.getInputStream());
			while (!request.isEmpty()) {
				this.requests.add(request);
				this.script.answer(request, connection, connection.getOutputStream());
				connection.getOutputStream().flush();
				request = read(connection.getInputStream());
			}
		}
		catch (IOException ex) {
			// Expected: scripts and the relay close connections on purpose.
			this.connections.remove(connection);
		}
	}

	private String read(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return "";
			}
			head.append((char) next);
		}
		if (this.headsOnly) {
			return head.toString();
		}
		String length = header(head.toString(), "content-length");
		byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
		return head + new String(body, StandardCharsets.ISO_8859_1);
	}

	/**
	 * Writes the response to one request.
	 */
	interface Script {

		void answer(String request, Socket connection, OutputStream out) throws IOException;

	}

}
