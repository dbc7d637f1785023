package io.verbenacleat.agent.engine;

import java.io.IOException;

import okio.BufferedSource;
import org.jspecify.annotations.Nullable;

/**
 * Reads the data of server-sent events from a response body. Does not wait for data
 * beyond the event that it returns. Not safe for use by several threads.
 */
final class ServerSentEventReader {

	/** Limits the memory for an engine that sends no line breaks. */
	private static final long MAX_LINE_BYTES = 1024 * 1024;

	private static final String DATA = "data:";

	private final BufferedSource source;

	ServerSentEventReader(BufferedSource source) {
		this.source = source;
	}

	/**
	 * Blocks until the next event.
	 * @return its data, or {@code null} at the end of the stream
	 * @throws IOException when the stream breaks or a line is too long
	 */
	@Nullable
	String next() throws IOException {
		StringBuilder data = new StringBuilder();
		boolean hasData = false;
		while (!this.source.exhausted()) {
			String line = this.source.readUtf8LineStrict(MAX_LINE_BYTES);
			if (line.isEmpty() && hasData) {
				return data.toString();
			}
			if (line.startsWith(DATA)) {
				data.append((hasData) ? "\n" : "").append(line.substring(DATA.length()).stripLeading());
				hasData = true;
			}
			if (data.length() > MAX_LINE_BYTES) {
				throw new IOException("An event is too long");
			}
		}
		return null;
	}

}
