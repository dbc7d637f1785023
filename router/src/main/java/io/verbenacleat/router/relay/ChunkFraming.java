package io.verbenacleat.router.relay;

import io.netty.buffer.ByteBuf;

/**
 * Checks that nothing but a line end follows each chunk of a body (RFC 9112, section
 * 7.1). The decoder skips the rest of that line unseen, so that a chunk longer than its
 * size would be cut, and wraps around a size of more than 31 bits. Not thread safe.
 */
final class ChunkFraming {

	private static final int HEX = 16;

	private State state = State.SIZE;

	private boolean sizeBegun;

	private boolean sizeEnded;

	private long remainingBytes;

	/**
	 * Checks the next bytes of a body.
	 * @param bytes the buffer
	 * @param from the index of the first byte
	 * @param to the index after the last byte
	 * @return {@code false} if bytes follow a chunk, or its size is too large
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
			byte next = bytes.getByte(index);
			index++;
			if (this.state == State.SIZE) {
				readSize(next);
				if (this.remainingBytes > Integer.MAX_VALUE) {
					return false;
				}
			}
			else if (next == '\n') {
				startSize();
			}
			else if (next == '\r' && this.state == State.DATA_END) {
				this.state = State.LINE_FEED;
			}
			else {
				return false;
			}
		}
		return true;
	}

	private void startSize() {
		this.state = State.SIZE;
		this.sizeBegun = false;
		this.sizeEnded = false;
		this.remainingBytes = 0;
	}

	// The decoder rejects a size that is not valid, and allows space before it.
	// Extensions may contain digits.
	private void readSize(byte next) {
		int digit = Character.digit(next, HEX);
		if (next == '\n') {
			this.state = (this.remainingBytes > 0) ? State.DATA : State.TRAILER;
		}
		else if (digit < 0) {
			this.sizeEnded = this.sizeEnded || this.sizeBegun || !Character.isWhitespace(next);
		}
		else if (!this.sizeEnded) {
			this.sizeBegun = true;
			this.remainingBytes = this.remainingBytes * HEX + digit;
		}
	}

	private enum State {

		/** In the line with the size. */
		SIZE,

		/** In the bytes of the chunk. */
		DATA,

		/** After the chunk. */
		DATA_END,

		/** Between the characters of the line end. */
		LINE_FEED,

		/** After the last chunk. */
		TRAILER

	}

}
