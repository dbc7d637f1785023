import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A plain server that may be faulty: it stops within the body of some answers, and then
 * sends another answer: to the same request, or a late copy of the one before.
 */
final class StutteringServer implements AutoCloseable {

	static final int BODY_BYTES = 800;

	private static final int CUT_BYTES = 720;

	private static final int BROKEN_OFF_BYTES = 300;

	private static final int PAUSE_MS = 20;

	/** The part of the second answer that is written byte by byte. */
	private static final int SLOW_BYTES = 300;

	private static final int SLOW_BYTE_MS = 3;

	private final ServerSocket listener;

	private final String id;

	private final int spoiledEvery;

	private final Record record;

	private final long bornMs = System.currentTimeMillis();

	private final AtomicInteger count = new AtomicInteger();

	/** The last whole answer on a connection, which one thread serves. */
	private final ThreadLocal<byte[]> lastAnswer = new ThreadLocal<>();

	/** The requests whose answers were spoiled in either way. */
	final Set<String> answeredAgain = ConcurrentHashMap.newKeySet();

	final Set<String> previousRepeated = ConcurrentHashMap.newKeySet();

	StutteringServer(String host, String id, int spoiledEvery, Record record) throws IOException {
		this.id = id;
		this.spoiledEvery = spoiledEvery;
		this.record = record;
		this.listener = new ServerSocket(0, 200, InetAddress.getByName(host));
		start(this::accept);
	}

	String registration(String service) {
		return ("{'service':'%s','address':'%s:%d','zone':'san-antonio','version':'v1','slots':6,'state':'ready',"
				+ "'born':%d,'seq':1}")
			.formatted(service, this.listener.getInetAddress().getHostAddress(), this.listener.getLocalPort(), this.bornMs)
			.replace('\'', '"');
	}

	/** Returns the whole body of the answer to a request. */
	static String body(String request) {
		return (request + " ").repeat(BODY_BYTES).substring(0, BODY_BYTES);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			this.record.line("server %s ends", this.id);
		}
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			while (true) {
				String line = line(in);
				Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
				while (!line.isEmpty()) {
					int colon = line.indexOf(':');
					if (colon > 0) {
						headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
					}
					line = line(in);
				}
				in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
				answer(out, String.valueOf(headers.get(Wire.name("request.id"))),
						headers.get(Wire.name("server.target")));
			}
		}
		catch (IOException ex) {
			this.record.line("server %s: a connection has ended: %s", this.id, ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void answer(OutputStream out, String request, String target) throws IOException, InterruptedException {
		if (target != null && !target.equals(this.id)) {
			out.write(("HTTP/1.1 421 Misdirected Request\r\n" + Wire.name("request.id") + ": " + request + "\r\n"
					+ Wire.name("server.notRun") + ": 1\r\nContent-Length: 0\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			return;
		}
		byte[] whole = bytes(head() + "Content-Length: " + BODY_BYTES + "\r\n" + names(request) + "\r\n" + body(request));
		byte[] previous = this.lastAnswer.get();
		int number = this.count.incrementAndGet();
		boolean spoil = this.spoiledEvery > 0 && number % this.spoiledEvery == 0 && previous != null;
		this.lastAnswer.set(whole);
		if (!spoil) {
			this.record.line("server %s runs %s", this.id, request);
			out.write(whole);
			return;
		}
		if (number / this.spoiledEvery % 2 == 0) {
			answerAgain(out, request, whole);
		}
		else {
			repeatPrevious(out, request, previous);
		}
	}

	/** Stops within the body and sends the whole answer anew, slowly. */
	private void answerAgain(OutputStream out, String request, byte[] whole) throws IOException, InterruptedException {
		this.record.line("server %s runs %s, stops within the answer and answers again", this.id, request);
		this.answeredAgain.add(request);
		out.write(whole, 0, whole.length - BODY_BYTES + CUT_BYTES);
		Thread.sleep(PAUSE_MS);
		for (int i = 0; i < SLOW_BYTES; i++) {
			out.write(whole, i, 1);
			Thread.sleep(SLOW_BYTE_MS);
		}
		out.write(whole, SLOW_BYTES, whole.length - SLOW_BYTES);
	}

	/** Stops within an answer without a length, sends a late copy of the answer before, and closes. */
	private void repeatPrevious(OutputStream out, String request, byte[] previous)
			throws IOException, InterruptedException {
		this.record.line("server %s runs %s, stops within the answer and sends that before again", this.id, request);
		this.previousRepeated.add(request);
		out.write(bytes(head() + "Connection: close\r\n" + names(request) + "\r\n"
				+ body(request).substring(0, BROKEN_OFF_BYTES)));
		Thread.sleep(PAUSE_MS);
		out.write(previous);
		throw new IOException("closed by the server");
	}

	private static String head() {
		return "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 23:18:43 GMT\r\nContent-Type: text/plain\r\n";
	}

	private static String names(String request) {
		return Wire.name("request.id") + ": " + request + "\r\n" + Wire.name("server.seal") + ": seal-" + request
				+ "\r\n";
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		int next = in.read();
		while (next != '\n') {
			if (next < 0) {
				throw new IOException("closed by the router");
			}
			text.append((char) next);
			next = in.read();
		}
		return text.toString().stripTrailing();
	}

}
