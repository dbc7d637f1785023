package io.verbenacleat.router.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

/**
 * Incremental parser of a stream in {@code text/event-stream} format. Finds the event
 * boundaries, counts the complete events and records the id of the last one. Not thread
 * safe.
 */
final class EventScanner {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

	private static final int MAX_LINE_BYTES = 256;

	private final byte[] line = new byte[MAX_LINE_BYTES];

	private int lineLength;

	private boolean eventHasFields;

	private @Nullable String idInEvent;

	private @Nullable String lastId;

	private int eventCount;

	private boolean invalid;

	/**
	 * Scans the next bytes of the stream, without changing the buffer.
	 * @param bytes the next bytes
	 * @return the number of bytes up to the last event boundary among them, 0 if there is
	 * none
	 */
	int scan(ByteBuf bytes) {
		int completeBytes = 0;
		int end = bytes.writerIndex();
		for (int index = bytes.readerIndex(); index < end && !this.invalid; index++) {
			byte next = bytes.getByte(index);
			if (next != '\n') {
				if (this.lineLength < MAX_LINE_BYTES) {
					this.line[this.lineLength] = next;
				}
				this.lineLength++;
			}
			else if (endLine()) {
				completeBytes = index + 1 - bytes.readerIndex();
			}
		}
		return completeBytes;
	}

	/**
	 * Returns whether a line of the stream is the status line of a response, which no
	 * field of an event looks like.
	 * @return {@code true} if the stream contains another response; nothing is scanned
	 * from its line on
	 */
	boolean isInvalid() {
		return this.invalid;
	}

	/**
	 * Resets the parser to an event boundary, before another server resumes the stream.
	 */
	void dropPartialEvent() {
		this.lineLength = 0;
		this.eventHasFields = false;
		this.idInEvent = null;
		this.invalid = false;
	}

	/**
	 * Returns the number of complete events.
	 * @return the count
	 */
	int eventCount() {
		return this.eventCount;
	}

	/**
	 * Returns the id of the last complete event that has one.
	 * @return the id, or {@code null} before the first event with an id
	 */
	@Nullable
	String lastId() {
		return this.lastId;
	}

	private boolean endLine() {
		int length = this.lineLength;
		if (length > 0 && length <= MAX_LINE_BYTES && this.line[length - 1] == '\r') {
			length--;
		}
		this.lineLength = 0;
		if (length == 0) {
			return endEvent();
		}
		this.eventHasFields = true;
		if (startsWith(VERSION_PREFIX, Math.min(length, MAX_LINE_BYTES))) {
			this.invalid = true;
			return false;
		}
		if (length <= MAX_LINE_BYTES && startsWith(ID_FIELD, length)) {
			this.idInEvent = new String(this.line, ID_FIELD.length, length - ID_FIELD.length, StandardCharsets.UTF_8)
				.strip();
		}
		return false;
	}

	private boolean endEvent() {
		if (this.eventHasFields) {
			this.eventCount++;
		}
		if (this.idInEvent != null) {
			this.lastId = this.idInEvent;
		}
		this.eventHasFields = false;
		this.idInEvent = null;
		return true;
	}

	private boolean startsWith(byte[] prefix, int length) {
		if (length < prefix.length) {
			return false;
		}
		for (int i = 0; i < prefix.length; i++) {
			if (this.line[i] != prefix[i]) {
				return false;
			}
		}
		return true;
	}

}
