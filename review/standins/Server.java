package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for a backend server: one request at a time on a connection, 421 for a request
 * that names another server, an answer with the request's id and a seal.
 */
final class Server {

	private static final String ENTRY = entryText();

	final String id;

	private final String ip;

	private final ServerSocket listener;

	private final Handler handler;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	Server(String id, String ip, Handler handler) throws IOException {
		this.id = id;
		this.ip = ip;
		this.handler = handler;
		this.listener = new ServerSocket();
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
		Link.daemon(this::accept);
	}

	int port() {
		return this.listener.getLocalPort();
	}

	String address() {
		return this.ip + ":" + port();
	}

	int openConnections() {
		return this.open.size();
	}

	/** The entry in the list of servers. */
	String entry(String service, int slots, String state, long sequence) {
		return ENTRY.replace("@SERVICE@", service)
			.replace("@ADDRESS@", address())
			.replace("@SLOTS@", Integer.toString(slots))
			.replace("@STATE@", state)
			.replace("@SEQ@", Long.toString(sequence));
	}

	/** Ends the process: the listener and all connections are closed. */
	void end() throws IOException {
		this.listener.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				if (!this.handler.accepts(this, socket)) {
					socket.setSoLinger(true, 0);
					socket.close();
					continue;
				}
				this.open.add(socket);
				Link.daemon(() -> serve(socket));
			}
			catch (IOException ex) {
				if (this.listener.isClosed()) {
					return;
				}
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = Http.buffered(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			boolean more = true;
			while (more) {
				Http.Head head = Http.head(in);
				if (head == null) {
					return;
				}
				byte[] body = Http.body(head, in);
				String target = head.header("target");
				if (target != null && !target.equals(this.id)) {
					out.write(("HTTP/1.1 421 Misdirected Request\r\n" + Wire.name("instance") + ": " + this.id
							+ "\r\nContent-Length: 0\r\n\r\n")
						.getBytes(StandardCharsets.ISO_8859_1));
					out.flush();
					continue;
				}
				more = this.handler.handle(this, head, body, out);
				out.flush();
			}
		}
		catch (IOException | RuntimeException ex) {
			// The caller has closed the connection.
		}
		finally {
			this.open.remove(socket);
		}
	}

	private static String entryText() {
		try {
			return Wire.text("entry.json").strip();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** Returns the head of an answer without its framing. */
	static String answerHead(Http.Head request) {
		return "HTTP/1.1 200 OK\r\n" + Wire.name("requestId") + ": " + request.header("requestId") + "\r\n"
				+ Wire.name("seal") + ": " + seal(request.header("requestId")) + "\r\n";
	}

	static String seal(String requestId) {
		return "seal." + requestId;
	}

	/** What a server does with a request. */
	interface Handler {

		/** Returns whether the server stays open for a new connection; else it is reset. */
		default boolean accepts(Server server, Socket socket) {
			return true;
		}

		/** Answers a request; returns whether the connection is kept. */
		boolean handle(Server server, Http.Head head, byte[] body, OutputStream out) throws IOException;

	}

}
