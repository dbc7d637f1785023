package io.verbenacleat.itest;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * Replaces the ports of loopback addresses in a byte stream, so that a process that reads
 * an address from the stream connects through a relay. Replacements have the same length
 * as the original, which keeps the framing of the protocol intact. Bytes at the end of a
 * chunk that could be the beginning of an address are buffered until the next chunk or
 * {@link #flush}. Not thread-safe.
 */
final class AddressRewriter {

	private static final byte[] HOST = "127.0.0.1:".getBytes(StandardCharsets.US_ASCII);

	private static final int PORT_DIGITS = 5;

	private final Map<Integer, Integer> ports;

	private byte[] pendingBytes = new byte[0];

	/**
	 * Creates a rewriter.
	 * @param ports the replacement by original port; all ports have five digits
	 */
	AddressRewriter(Map<Integer, Integer> ports) {
		this.ports = Map.copyOf(ports);
	}

	/**
	 * Rewrites the next chunk of the stream.
	 * @param chunk the buffer
	 * @param length the number of bytes in the buffer
	 * @return the bytes to send, possibly empty
	 */
	byte[] rewrite(byte[] chunk, int length) {
		byte[] all = concat(this.pendingBytes, chunk, length);
		ByteArrayOutputStream out = new ByteArrayOutputStream(all.length);
		int from = 0;
		while (from < all.length) {
			int matched = matchedHostBytes(all, from);
			if (matched == HOST.length && from + HOST.length + PORT_DIGITS <= all.length) {
				out.write(all, from, HOST.length);
				out.writeBytes(rewritePort(all, from + HOST.length));
				from += HOST.length + PORT_DIGITS;
			}
			else if (from + matched == all.length || matched == HOST.length) {
				break;
			}
			else {
				out.write(all[from++]);
			}
		}
		this.pendingBytes = Arrays.copyOfRange(all, from, all.length);
		return out.toByteArray();
	}

	/**
	 * Returns the buffered bytes unchanged and clears the buffer.
	 * @return the bytes to send, possibly empty
	 */
	byte[] flush() {
		byte[] flushed = this.pendingBytes;
		this.pendingBytes = new byte[0];
		return flushed;
	}

	private byte[] rewritePort(byte[] bytes, int from) {
		String text = new String(bytes, from, PORT_DIGITS, StandardCharsets.US_ASCII);
		String changed = (text.chars().allMatch(Character::isDigit))
				? Integer.toString(this.ports.getOrDefault(Integer.valueOf(text), Integer.valueOf(text))) : text;
		return changed.getBytes(StandardCharsets.US_ASCII);
	}

	private static int matchedHostBytes(byte[] bytes, int from) {
		int matched = 0;
		while (matched < HOST.length && from + matched < bytes.length && bytes[from + matched] == HOST[matched]) {
			matched++;
		}
		return matched;
	}

	private static byte[] concat(byte[] first, byte[] second, int length) {
		byte[] all = Arrays.copyOf(first, first.length + length);
		System.arraycopy(second, 0, all, first.length, length);
		return all;
	}

}
