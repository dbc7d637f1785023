package io.verbenacleat.itest;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * Replaces loopback addresses in a byte stream by others of equal length, so that a
 * process that reads an address connects through the relay meant for it. A possible start
 * of an address at the end of a chunk is kept until the next chunk or {@link #flush}. Not
 * safe for use by several threads.
 */
final class AddressRewriter {

	private static final byte[] HOST = "127.0.0.1:".getBytes(StandardCharsets.US_ASCII);

	private static final int PORT_DIGITS = 5;

	private final Map<Integer, Integer> ports;

	private byte[] pendingBytes = new byte[0];

	/**
	 * Creates a map.
	 * @param ports the new port by the port that is read, all of five digits
	 */
	AddressRewriter(Map<Integer, Integer> ports) {
		this.ports = Map.copyOf(ports);
	}

	/**
	 * Replaces the addresses of a chunk.
	 * @param chunk the buffer
	 * @param length the bytes in it
	 * @return the bytes to send now
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
	 * Returns what was kept.
	 * @return the bytes to send now
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
