package io.verbenacleat.router.relay;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Checks whether the head of a response is one head. A server that stops within the head
 * of one response and then sends another one leaves a head that the decoder accepts: the
 * status of the first response with the fields of the second. Stateless.
 */
final class ResponseHeadCheck {

	/** The part of a status line that precedes the reason phrase. */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1[.][01] [0-9]{3}");

	/** No other transfer coding was asked for, and none is undone. */
	private static final Pattern CHUNKED = Pattern.compile("[ \t]*chunked[ \t]*", Pattern.CASE_INSENSITIVE);

	private static final String VERSION_PREFIX = "HTTP/1.";

	private ResponseHeadCheck() {
	}

	/**
	 * Checks a head that the decoder has accepted.
	 * @param response the head
	 * @param requestIdHeader the name of the field that names the request
	 * @return the fault, {@code null} if there is none
	 */
	@Nullable
	static ResponseFault check(HttpResponse response, String requestIdHeader) {
		HttpVersion version = response.protocolVersion();
		if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
			return ResponseFault.INVALID_HEAD;
		}
		List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!codings.isEmpty() && (codings.size() > 1 || !CHUNKED.matcher(codings.get(0)).matches())) {
			return ResponseFault.INVALID_HEAD;
		}
		if (containsStatusLine(response.status().reasonPhrase())) {
			return ResponseFault.SPLICED_HEAD;
		}
		for (Map.Entry<String, String> header : response.headers()) {
			if (containsStatusLine(header.getValue())) {
				return ResponseFault.SPLICED_HEAD;
			}
		}
		return (response.headers().getAll(requestIdHeader).size() > 1) ? ResponseFault.REPEATED_REQUEST_ID : null;
	}

	private static boolean containsStatusLine(String text) {
		return text.contains(VERSION_PREFIX) && STATUS_LINE.matcher(text).find();
	}

}
