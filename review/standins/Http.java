package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {

	private Http() {
	}

	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next != '\n') {
			if (next < 0) {
				throw new EOFException("the connection ended inside a line");
			}
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** Reads a head; {@code null} at the end of the connection. */
	static Head head(InputStream in) throws IOException {
		String start = line(in);
		if (start == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		String line = line(in);
		while (line != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			if (colon > 0) {
				headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			}
			line = line(in);
		}
		if (line == null) {
			throw new EOFException("the connection ended inside a head");
		}
		return new Head(start, headers);
	}

	/** Reads a body with a length or in chunks; fails if it is not complete. */
	static byte[] body(Head head, InputStream in) throws IOException {
		if ("chunked".equalsIgnoreCase(head.headers().getOrDefault("transfer-encoding", ""))) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new EOFException("the connection ended before the last chunk, after " + body.size() + " bytes");
				}
				int length = Integer.parseInt(size.strip(), 16);
				body.write(exactly(in, length));
				if (length == 0) {
					line(in);
					return body.toByteArray();
				}
				line(in);
			}
		}
		return exactly(in, Integer.parseInt(head.headers().getOrDefault("content-length", "0")));
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = new byte[length];
		int done = 0;
		while (done < length) {
			int count = in.read(bytes, done, length - done);
			if (count < 0) {
				throw new EOFException("the connection ended after " + done + " of " + length + " bytes");
			}
			done += count;
		}
		return bytes;
	}

	static BufferedInputStream buffered(InputStream in) {
		return new BufferedInputStream(in, 16_384);
	}

	/** The start line and the headers of a message; header names in lower case. */
	record Head(String start, Map<String, String> headers) {

		String header(String wireName) {
			return this.headers.get(Wire.name(wireName).toLowerCase(Locale.ROOT));
		}

		int status() {
			String[] words = this.start.split(" ");
			return (words.length > 1 && words[0].startsWith("HTTP/") && words[1].matches("[0-9]{3}"))
					? Integer.parseInt(words[1]) : -1;
		}

	}

}
