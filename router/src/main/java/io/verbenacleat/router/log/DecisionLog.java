package io.verbenacleat.router.log;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonGenerator;
import io.verbenacleat.core.json.Json;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes one JSON line for each decision of the router. Lines above
 * {@link #MAX_LINES_PER_SECOND} are dropped and counted, and each line contains the
 * number of lines dropped so far. Safe for use by several threads.
 *
 * <pre>{@code
 * log.event("request.refused").with("request", id).with("reason", "no server").emit();
 * }</pre>
 */
public final class DecisionLog {

	/**
	 * Rate limit, about three lines for each request at the peak of a small host (60
	 * requests/s).
	 */
	static final int MAX_LINES_PER_SECOND = 200;

	private static final long WINDOW_MS = 1_000;

	private static final Logger logger = LogManager.getLogger("verbena.decisions");

	private final LongSupplier clockMs;

	private final AtomicLong dropped = new AtomicLong();

	private long windowStartMs;

	private int linesInWindow;

	/**
	 * Creates a log.
	 * @param clockMs supplies the Unix time in milliseconds
	 */
	public DecisionLog(LongSupplier clockMs) {
		this.clockMs = clockMs;
	}

	/**
	 * Starts a line.
	 * @param name the name of the event
	 * @return the line
	 */
	public Line event(String name) {
		return new Line(name);
	}

	/**
	 * Returns the number of lines that were dropped since the start.
	 * @return the count
	 */
	public long dropped() {
		return this.dropped.get();
	}

	private synchronized boolean admit(long nowMs) {
		if (nowMs - this.windowStartMs >= WINDOW_MS || nowMs < this.windowStartMs) {
			this.windowStartMs = nowMs;
			this.linesInWindow = 0;
		}
		this.linesInWindow++;
		return this.linesInWindow <= MAX_LINES_PER_SECOND;
	}

	/**
	 * Builder of one line. Not safe for use by several threads.
	 */
	public final class Line {

		private final StringWriter text = new StringWriter();

		private final JsonGenerator json;

		private final boolean admitted;

		private Line(String name) {
			long nowMs = DecisionLog.this.clockMs.getAsLong();
			this.admitted = admit(nowMs);
			try {
				this.json = Json.mapper().createGenerator(this.text);
				this.json.writeStartObject();
				this.json.writeNumberField("time_ms", nowMs);
				this.json.writeStringField("event", name);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		/**
		 * Adds a string field.
		 * @param name the name of the field
		 * @param value the value
		 * @return this line
		 */
		public Line with(String name, String value) {
			try {
				this.json.writeStringField(name, value);
				return this;
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		/**
		 * Adds a number field.
		 * @param name the name of the field
		 * @param value the value
		 * @return this line
		 */
		public Line with(String name, long value) {
			try {
				this.json.writeNumberField(name, value);
				return this;
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		/**
		 * Adds a boolean field.
		 * @param name the name of the field
		 * @param value the value
		 * @return this line
		 */
		public Line with(String name, boolean value) {
			try {
				this.json.writeBooleanField(name, value);
				return this;
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		/**
		 * Writes the line, or drops and counts it if the rate limit was reached when the
		 * line was started.
		 */
		public void emit() {
			if (!this.admitted) {
				DecisionLog.this.dropped.incrementAndGet();
				return;
			}
			with("dropped_lines", DecisionLog.this.dropped.get());
			try {
				this.json.writeEndObject();
				this.json.close();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
			logger.info(this.text.toString());
		}

	}

}
