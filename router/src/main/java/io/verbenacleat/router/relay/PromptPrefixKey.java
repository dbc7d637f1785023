package io.verbenacleat.router.relay;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;
import org.jspecify.annotations.Nullable;

/**
 * Computes the key by which requests with the same prompt prefix are routed to the same
 * server. Stateless.
 */
final class PromptPrefixKey {

	private PromptPrefixKey() {
	}

	/**
	 * Returns the key of the longest prefix that other requests may share, which is all
	 * parts but the last.
	 * @param header the parts of the prompt as {@code id:tokens}, separated by commas, or
	 * {@code null}
	 * @return the key, 0 when there is no shared prefix
	 */
	static long of(@Nullable String header) {
		if (header == null) {
			return 0;
		}
		int last = header.lastIndexOf(',');
		if (last <= 0) {
			return 0;
		}
		return ofText(header.substring(0, last));
	}

	/**
	 * Returns the key of all requests with one part, whatever else their prompts hold.
	 * @param part the id of the part
	 * @return the key
	 */
	static long ofPart(String part) {
		return ofText(part);
	}

	private static long ofText(String text) {
		long key = Hashing.murmur3_128().hashString(text, StandardCharsets.US_ASCII).asLong();
		return (key != 0) ? key : 1;
	}

}
