package io.verbenacleat.router.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

/**
 * Follows the events of one stream in {@code text/event-stream} format: where they end,
 * how many there were, and the id of the last whole one. Not safe for use by several
 * threads.
 */
final class EventScanner {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final int MAX_LINE_BYTES = 256;

	private final byte[] line = new byte[MAX_LINE_BYTES];

	private int lineLength;

	private boolean eventHasFields;

	private @Nullable String idInEvent;

	private @Nullable String lastId;

	private int eventCount;

	/**
	 * Reads bytes of the stream, without changing the buffer.
	 * @param bytes the next bytes
	 * @return the number of bytes up to the end of the last event that ends in them, 0
	 * when none does
	 */
	int scan(ByteBuf bytes) {
		int completeBytes = 0;
		int end = bytes.writerIndex();
		for (int index = bytes.readerIndex(); index < end; index++) {
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
	 * Forgets the event that has not ended, before the stream goes on elsewhere.
	 */
	void dropPartialEvent() {
		this.lineLength = 0;
		this.eventHasFields = false;
		this.idInEvent = null;
	}

	/**
	 * Returns how many events have ended.
	 * @return the count
	 */
	int eventCount() {
		return this.eventCount;
	}

	/**
	 * Returns the id of the last event that has ended.
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
		if (length <= MAX_LINE_BYTES && startsWithId(length)) {
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

	private boolean startsWithId(int length) {
		if (length < ID_FIELD.length) {
			return false;
		}
		for (int i = 0; i < ID_FIELD.length; i++) {
			if (this.line[i] != ID_FIELD[i]) {
				return false;
			}
		}
		return true;
	}

}
