package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in for a client with one kept connection. */
final class Caller implements AutoCloseable {

	final Socket socket;

	final InputStream in;

	Caller(String ip, int port, int receiveBytes) throws IOException {
		this.socket = new Socket();
		if (receiveBytes > 0) {
			this.socket.setReceiveBufferSize(receiveBytes);
		}
		this.socket.setTcpNoDelay(true);
		this.socket.setSoTimeout(20_000);
		this.socket.connect(new InetSocketAddress(ip, port), 1_000);
		this.in = Http.buffered(this.socket.getInputStream());
	}

	void send(String method, String path, String id, String key, long deadlineMs, String extra, String body)
			throws IOException {
		String head = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + Wire.name("requestId") + ": " + id
				+ "\r\n" + Wire.name("deadline") + ": " + deadlineMs + "\r\n" + Wire.name("key") + ": " + key + "\r\n"
				+ extra + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
		this.socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
		this.socket.getOutputStream().flush();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
