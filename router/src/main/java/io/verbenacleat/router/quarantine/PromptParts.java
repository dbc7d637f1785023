package io.verbenacleat.router.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.google.common.hash.Hashing;
import org.jspecify.annotations.Nullable;

/**
 * Parses the parts of a prompt that other requests may share. Stateless.
 */
public final class PromptParts {

	/** Bounds the work for one request; prompts share a few parts. */
	static final int MAX_PARTS = 32;

	/** Other ids are replaced by their hash, which bounds the memory for each part. */
	static final int MAX_ID_LENGTH = 64;

	private static final int MAX_DIGITS = 9;

	private PromptParts() {
	}

	/**
	 * Returns the ids of all parts but the last one, which belongs to one request or
	 * session.
	 * @param header the parts as {@code id:tokens}, separated by commas, or {@code null}
	 * @return the distinct ids, at most 32; an id that is too long or has other
	 * characters than letters, digits, hyphens and underscores is replaced by its hash,
	 * and so is one that reads like the name of a request
	 */
	public static List<String> shared(@Nullable String header) {
		List<String> ids = new ArrayList<>();
		int start = 0;
		int comma = (header != null) ? header.indexOf(',') : -1;
		while (header != null && comma >= 0 && ids.size() < MAX_PARTS) {
			String id = id(header.substring(start, comma));
			if (!id.isEmpty() && !ids.contains(id)) {
				ids.add(id);
			}
			start = comma + 1;
			comma = header.indexOf(',', start);
		}
		return List.copyOf(ids);
	}

	/**
	 * Returns the number of tokens of all parts but the last one.
	 * @param header the parts as {@code id:tokens}, separated by commas, or {@code null}
	 * @return the sum of the valid numbers of at most 32 parts
	 */
	public static long sharedTokens(@Nullable String header) {
		long sum = 0;
		int start = 0;
		int comma = (header != null) ? header.indexOf(',') : -1;
		for (int i = 0; header != null && comma >= 0 && i < MAX_PARTS; i++) {
			sum += tokens(header, header.lastIndexOf(':', comma) + 1, start, comma);
			start = comma + 1;
			comma = header.indexOf(',', start);
		}
		return sum;
	}

	private static long tokens(String header, int digits, int start, int end) {
		if (digits <= start || digits >= end || end - digits > MAX_DIGITS) {
			return 0;
		}
		long tokens = 0;
		for (int i = digits; i < end; i++) {
			char digit = header.charAt(i);
			if (digit < '0' || digit > '9') {
				return 0;
			}
			tokens = 10 * tokens + digit - '0';
		}
		return tokens;
	}

	private static String hash(String text) {
		return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).toString();
	}

	private static String id(String part) {
		int colon = part.indexOf(':');
		String id = ((colon >= 0) ? part.substring(0, colon) : part).strip();
		return (id.isEmpty() || (isId(id) && !RequestName.isName(id))) ? id : hash(id);
	}

	/**
	 * Returns whether a text is an id that may be stored and logged as it is.
	 * @param text the text, {@code null} in malformed messages
	 * @return {@code true} for 1 to 64 letters, digits, hyphens and underscores
	 */
	static boolean isId(@Nullable String text) {
		return text != null && !text.isEmpty() && text.length() <= MAX_ID_LENGTH
				&& text.chars()
					.allMatch((c) -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
							|| c == '-' || c == '_');
	}

}
