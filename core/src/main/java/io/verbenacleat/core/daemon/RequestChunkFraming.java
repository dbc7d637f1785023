package io.verbenacleat.core.daemon;

import io.netty.buffer.ByteBuf;

/**
 * Checks the chunks of a request body (RFC 9112, section 7.1). The decoder wraps around a
 * size of more than 31 bits, skips what follows a chunk up to the next line, and accepts
 * other line ends. Not thread safe.
 */
final class RequestChunkFraming {

	private static final int HEX = 16;

	private static final int MAX_SIZE_DIGITS = 15;

	private State state = State.SIZE;

	private int sizeDigits;

	private long remainingBytes;

	/**
	 * Checks the next bytes of a body.
	 * @param bytes the buffer
	 * @param from the index of the first byte
	 * @param to the index after the last byte
	 * @return {@code false} if the bytes are not those of chunks
	 */
	boolean accept(ByteBuf bytes, int from, int to) {
		int index = from;
		while (index < to && this.state != State.TRAILER) {
			if (this.state == State.DATA) {
				int length = (int) Math.min(this.remainingBytes, to - index);
				this.remainingBytes -= length;
				index += length;
				this.state = (this.remainingBytes > 0) ? State.DATA : State.DATA_END;
				continue;
			}
			State next = next(bytes.getByte(index));
			if (next == State.INVALID) {
				return false;
			}
			this.state = next;
			index++;
		}
		return true;
	}

	private State next(byte next) {
		return switch (this.state) {
			case SIZE -> afterSize(next);
			case SIZE_SPACE -> switch (next) {
				case ' ', '\t' -> State.SIZE_SPACE;
				case ';' -> State.EXTENSION;
				case '\r' -> State.SIZE_LINE_FEED;
				default -> State.INVALID;
			};
			case EXTENSION -> switch (next) {
				case '\r' -> State.SIZE_LINE_FEED;
				case '\n', 0 -> State.INVALID;
				default -> State.EXTENSION;
			};
			case SIZE_LINE_FEED ->
				(next != '\n') ? State.INVALID : (this.remainingBytes > 0) ? State.DATA : State.TRAILER;
			case DATA_END -> (next == '\r') ? State.DATA_LINE_FEED : State.INVALID;
			case DATA_LINE_FEED -> startSize(next);
			default -> State.INVALID;
		};
	}

	private State startSize(byte next) {
		this.sizeDigits = 0;
		this.remainingBytes = 0;
		return (next == '\n') ? State.SIZE : State.INVALID;
	}

	private State afterSize(byte next) {
		int digit = Character.digit(next, HEX);
		if (digit >= 0) {
			this.sizeDigits++;
			this.remainingBytes = this.remainingBytes * HEX + digit;
			return (this.sizeDigits <= MAX_SIZE_DIGITS && this.remainingBytes <= Integer.MAX_VALUE) ? State.SIZE
					: State.INVALID;
		}
		if (this.sizeDigits == 0) {
			return State.INVALID;
		}
		return switch (next) {
			case ' ', '\t' -> State.SIZE_SPACE;
			case ';' -> State.EXTENSION;
			case '\r' -> State.SIZE_LINE_FEED;
			default -> State.INVALID;
		};
	}

	private enum State {

		/** In the digits of the size. */
		SIZE,

		/** In the space after the size. */
		SIZE_SPACE,

		/** In the chunk extensions. */
		EXTENSION,

		/** Before the second character of the line end after the size. */
		SIZE_LINE_FEED,

		/** In the bytes of the chunk. */
		DATA,

		/** After the chunk. */
		DATA_END,

		/** Before the second character of the line end after the chunk. */
		DATA_LINE_FEED,

		/** After the last chunk. */
		TRAILER,

		/** The bytes are not those of chunks. */
		INVALID

	}

}
