package io.verbenacleat.router.relay;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;
import org.jspecify.annotations.Nullable;

/**
 * Finds what a prompt shares with others.
 */
final class PromptPrefixKey {

	private PromptPrefixKey() {
	}

	/**
	 * Returns a key for the deepest part that other requests may share. The last part
	 * belongs to the request alone.
	 * @param header the parts as {@code id:tokens} with commas, or {@code null}
	 * @return the key, 0 when nothing is shared
	 */
	static long of(@Nullable String header) {
		if (header == null) {
			return 0;
		}
		int last = header.lastIndexOf(',');
		if (last <= 0) {
			return 0;
		}
		long key = Hashing.murmur3_128().hashString(header.substring(0, last), StandardCharsets.US_ASCII).asLong();
		return (key != 0) ? key : 1;
	}

}
