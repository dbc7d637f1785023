package io.verbenacleat.entry.http;

import java.util.Locale;
import java.util.Set;

/**
 * Tells which headers belong to one connection only (RFC 9110, section 7.6.1), with those
 * that the gateway sets or uses itself.
 */
final class HopByHopHeaders {

	private static final Set<String> NOT_FORWARDED = Set.of("connection", "proxy-connection", "keep-alive", "te",
			"trailer", "transfer-encoding", "upgrade", "proxy-authenticate", "proxy-authorization", "host",
			"content-length", "expect", "authorization", "verbena-request-id", "verbena-timeout-ms");

	private HopByHopHeaders() {
	}

	/**
	 * Returns whether a header is passed on.
	 * @param name the name
	 * @return {@code true} when it is passed on
	 */
	static boolean isEndToEnd(String name) {
		return !NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT));
	}

}
