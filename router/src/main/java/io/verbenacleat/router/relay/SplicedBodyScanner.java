package io.verbenacleat.router.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.netty.buffer.ByteBuf;

/**
 * Searches the bytes that a server sends after a request for heads of responses, and
 * tells whether one of them lies within a body. A server that stops within a body and
 * then sends another response fills the rest of the first body with it. Not thread safe.
 * <p>
 * Works on the bytes before they are decoded, because the decoder drops a part of some
 * lines between chunks.
 */
final class SplicedBodyScanner {

	/** Stands for a digit in {@link #STATUS_LINE}. */
	private static final char DIGIT = '0';

	/** The part of a status line that precedes the reason phrase. */
	private static final String STATUS_LINE = "HTTP/1.0 000";

	/** Longest head that is searched for the id. */
	private static final int MAX_HEAD_BYTES = 8_192;

	/** Limits the memory for a body that consists of status lines. */
	private static final int MAX_HEADS = 64;

	private static final String HEAD_END = "\r\n\r\n";

	private final String idField;

	private final List<FoundHead> heads = new ArrayList<>();

	private final StringBuilder head = new StringBuilder();

	private long position;

	/** The number of matched characters of {@link #STATUS_LINE}. */
	private int matched;

	private boolean inHead;

	/**
	 * Creates a scanner for the bytes after one request.
	 * @param requestIdHeader the name of the field that names the request
	 * @param requestId the id of the request, empty if its response names none; nothing
	 * is found then
	 */
	SplicedBodyScanner(String requestIdHeader, String requestId) {
		this.idField = requestId.isEmpty() ? ""
				: "\n" + requestIdHeader.toLowerCase(Locale.ROOT) + ": " + requestId + "\r";
	}

	/**
	 * Scans the next bytes.
	 * @param bytes the bytes, whose indexes stay unchanged
	 */
	void scan(ByteBuf bytes) {
		int start = bytes.readerIndex();
		int end = bytes.writerIndex();
		int index = this.idField.isEmpty() ? end : start;
		while (index < end) {
			if (this.inHead || this.matched > 0) {
				accept((char) bytes.getUnsignedByte(index), this.position + index - start);
				index++;
				continue;
			}
			int skipped = bytes.bytesBefore(index, end - index, (byte) STATUS_LINE.charAt(0));
			if (skipped < 0) {
				break;
			}
			index += skipped + 1;
			this.matched = 1;
		}
		this.position += end - start;
	}

	/**
	 * Returns whether a body contains the head of another response.
	 * @param bodyStart the number of bytes that precede the body
	 * @param bodyEnd the number of bytes up to the end of the body, or to the part of it
	 * that has been decoded
	 * @param followed whether the body has ended and more bytes follow; a head that does
	 * not name the request is a quotation otherwise
	 * @return {@code true} if a head begins within the body
	 */
	boolean isSpliced(long bodyStart, long bodyEnd, boolean followed) {
		return this.heads.stream()
			.anyMatch((found) -> found.start >= bodyStart && found.start < bodyEnd && (followed || found.namesRequest));
	}

	private void accept(char next, long offset) {
		if (this.inHead) {
			appendToHead(next);
			return;
		}
		char expected = STATUS_LINE.charAt(this.matched);
		boolean fits = (expected == DIGIT) ? next >= '0' && next <= '9' : next == expected;
		if (!fits) {
			this.matched = (next == STATUS_LINE.charAt(0)) ? 1 : 0;
			return;
		}
		this.matched++;
		if (this.matched == STATUS_LINE.length()) {
			this.matched = 0;
			if (this.heads.size() < MAX_HEADS) {
				this.inHead = true;
				this.head.setLength(0);
				this.heads.add(new FoundHead(offset + 1 - STATUS_LINE.length()));
			}
		}
	}

	private void appendToHead(char next) {
		this.head.append(next);
		if (next == '\r' && endsWithId()) {
			this.heads.get(this.heads.size() - 1).namesRequest = true;
		}
		int length = this.head.length();
		this.inHead = length < MAX_HEAD_BYTES && !(next == '\n' && length >= HEAD_END.length()
				&& this.head.indexOf(HEAD_END, length - HEAD_END.length()) >= 0);
	}

	private boolean endsWithId() {
		int start = this.head.length() - this.idField.length();
		if (start < 0) {
			return false;
		}
		String line = this.head.substring(start);
		int nameEnd = this.idField.indexOf(':');
		return line.substring(0, nameEnd).toLowerCase(Locale.ROOT).equals(this.idField.substring(0, nameEnd))
				&& line.substring(nameEnd).equals(this.idField.substring(nameEnd));
	}

	/**
	 * A head among the bytes. Not thread safe.
	 */
	private static final class FoundHead {

		private final long start;

		private boolean namesRequest;

		private FoundHead(long start) {
			this.start = start;
		}

	}

}
