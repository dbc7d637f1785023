package io.verbenacleat.core.daemon;

import java.util.ArrayList;
import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Checks that a request states where its body ends, in one way only (RFC 9112, sections
 * 6.1 to 6.3). Otherwise the rest of its body would be taken for the next request.
 * Stateless.
 */
final class RequestFraming {

	private static final String CHUNKED = "chunked";

	private RequestFraming() {
	}

	/**
	 * Checks the head of a request.
	 * @param request the head
	 * @return the fault, {@code null} if there is none
	 */
	@Nullable
	static RequestFramingException check(HttpRequest request) {
		HttpHeaders headers = request.headers();
		List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
		HttpVersion version = request.protocolVersion();
		if (version.majorVersion() != 1) {
			return RequestFramingException.invalid("the version is not 1.x");
		}
		if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			boolean valid = lengths.isEmpty() || (lengths.size() == 1 && isLength(lengths.get(0)));
			return valid ? null : RequestFramingException.invalid("Content-Length is not one number");
		}
		if (version.minorVersion() == 0) {
			return RequestFramingException.invalid("Transfer-Encoding in HTTP/1.0");
		}
		if (!lengths.isEmpty()) {
			return RequestFramingException.invalid("both Content-Length and Transfer-Encoding");
		}
		List<String> codings = codings(headers.getAll(HttpHeaderNames.TRANSFER_ENCODING));
		int last = codings.size() - 1;
		if (last < 0 || !isChunked(codings.get(last))) {
			return RequestFramingException.invalid("the last transfer coding is not chunked");
		}
		if (codings.subList(0, last).stream().anyMatch(RequestFraming::isChunked)) {
			return RequestFramingException.invalid("chunked is applied twice");
		}
		return (last > 0) ? RequestFramingException.unsupported("a transfer coding other than chunked") : null;
	}

	private static boolean isLength(String value) {
		return !value.isEmpty() && value.chars().allMatch((digit) -> digit >= '0' && digit <= '9');
	}

	// Empty members of a list are ignored (RFC 9110, section 5.6.1.2).
	private static List<String> codings(List<String> fields) {
		List<String> codings = new ArrayList<>();
		for (String field : fields) {
			for (String member : field.split(",", -1)) {
				String coding = withoutWhitespace(member);
				if (!coding.isEmpty()) {
					codings.add(coding);
				}
			}
		}
		return codings;
	}

	// Only space and tab are optional whitespace; other control characters are not.
	private static String withoutWhitespace(String member) {
		int start = 0;
		int end = member.length();
		while (start < end && isWhitespace(member.charAt(start))) {
			start++;
		}
		while (end > start && isWhitespace(member.charAt(end - 1))) {
			end--;
		}
		return member.substring(start, end);
	}

	private static boolean isWhitespace(char character) {
		return character == ' ' || character == '\t';
	}

	private static boolean isChunked(String coding) {
		return coding.equalsIgnoreCase(CHUNKED);
	}

}
