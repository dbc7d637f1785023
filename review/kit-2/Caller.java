import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client with one connection, which it keeps. */
final class Caller implements AutoCloseable {

	private static final int CONNECT_MS = 1_000;

	private final String host;

	private Socket socket;

	Caller(String host) {
		this.host = host;
	}

	/** Sends one request and reads its answer; reconnects if the connection is closed. */
	Answer call(Request request) throws IOException {
		if (this.socket == null) {
			this.socket = new Socket();
			this.socket.setTcpNoDelay(true);
			this.socket.connect(new InetSocketAddress(this.host, Router.CALLER_PORT), CONNECT_MS);
		}
		try {
			this.socket.setSoTimeout(request.deadlineMs);
			this.socket.getOutputStream().write(request.head());
			this.socket.getOutputStream().write(request.body);
			Answer answer = read(this.socket.getInputStream());
			if (answer.close) {
				close();
			}
			return answer;
		}
		catch (IOException ex) {
			close();
			throw ex;
		}
	}

	@Override
	public void close() throws IOException {
		if (this.socket != null) {
			this.socket.close();
			this.socket = null;
		}
	}

	private static Answer read(InputStream raw) throws IOException {
		InputStream in = (raw instanceof BufferedInputStream) ? raw : new BufferedInputStream(raw, 1);
		String[] first = line(in).split(" ", 3);
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		String next = line(in);
		while (!next.isEmpty()) {
			int colon = next.indexOf(':');
			headers.put(next.substring(0, colon), next.substring(colon + 1).strip());
			next = line(in);
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).contains("chunked")) {
			int size = Integer.parseInt(line(in).strip(), 16);
			while (size > 0) {
				body.write(exactly(in, size));
				line(in);
				size = Integer.parseInt(line(in).strip(), 16);
			}
			line(in);
		}
		else {
			body.write(exactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0"))));
		}
		return new Answer(Integer.parseInt(first[1]), headers, body.toString(StandardCharsets.UTF_8),
				headers.getOrDefault("Connection", "").equalsIgnoreCase("close"));
	}

	private static byte[] exactly(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("The answer is cut off");
		}
		return bytes;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int next = in.read();
		while (next != '\n') {
			if (next < 0) {
				throw new EOFException((bytes.size() == 0) ? "No answer" : "The answer is cut off");
			}
			bytes.write(next);
			next = in.read();
		}
		return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
	}

	/** A whole answer. */
	record Answer(int status, Map<String, String> headers, String body, boolean close) {
	}

	/** A request of a client attempt. */
	static final class Request {

		final String id;

		final byte[] body;

		final int deadlineMs;

		private final StringBuilder head = new StringBuilder();

		Request(String method, String path, String host, String id, String key, int deadlineMs, byte[] body) {
			this(method, path, host, id, key, deadlineMs, body, body.length);
		}

		/** A request whose body is sent by other means; a negative length is left out. */
		Request(String method, String path, String host, String id, String key, int deadlineMs, byte[] body,
				int length) {
			this.id = id;
			this.body = body;
			this.deadlineMs = deadlineMs;
			this.head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
			with(Wire.name("request.id"), id).with(Wire.name("request.deadline"), Integer.toString(deadlineMs));
			if (length >= 0) {
				with("Content-Length", Integer.toString(length));
			}
			if (!key.isEmpty()) {
				with(Wire.name("request.key"), key);
			}
		}

		Request with(String name, String value) {
			this.head.append(name).append(": ").append(value).append("\r\n");
			return this;
		}

		byte[] head() {
			return (this.head + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
		}

	}

}
