package io.verbenacleat.router.relay;

import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * The tokens that a request declares in its header.
 *
 * @param promptTokens the number of prompt tokens
 * @param maxOutputTokens the maximum number of output tokens
 */
record TokenUsage(long promptTokens, long maxOutputTokens) {

	private static final int MAX_DIGITS = 12;

	/**
	 * Parses the header value.
	 * @param header two numbers separated by a comma, or {@code null}
	 * @return the tokens, empty when the header is missing or is not two numbers
	 */
	static Optional<TokenUsage> parse(@Nullable String header) {
		if (header == null) {
			return Optional.empty();
		}
		int comma = header.indexOf(',');
		if (comma < 0) {
			return Optional.empty();
		}
		String prompt = header.substring(0, comma).strip();
		String output = header.substring(comma + 1).strip();
		if (!isNumber(prompt) || !isNumber(output)) {
			return Optional.empty();
		}
		return Optional.of(new TokenUsage(Long.parseLong(prompt), Long.parseLong(output)));
	}

	private static boolean isNumber(String text) {
		return !text.isEmpty() && text.length() <= MAX_DIGITS
				&& text.chars().allMatch((digit) -> digit >= '0' && digit <= '9');
	}

}
