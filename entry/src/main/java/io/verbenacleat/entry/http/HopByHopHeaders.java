package io.verbenacleat.entry.http;

import java.util.Locale;
import java.util.Set;

import io.verbenacleat.core.daemon.ConnectionHeaders;

/**
 * Tells which headers belong to one connection only (RFC 9110, section 7.6.1), with those
 * that the gateway sets or uses itself.
 */
final class HopByHopHeaders {

	private static final Set<String> GATEWAY_HEADERS = Set.of("host", "authorization", "verbena-request-id",
			"verbena-timeout-ms");

	private HopByHopHeaders() {
	}

	/**
	 * Returns whether a header is passed on.
	 * @param name the name
	 * @return {@code true} when it is passed on
	 */
	static boolean isEndToEnd(String name) {
		return !ConnectionHeaders.contains(name) && !GATEWAY_HEADERS.contains(name.toLowerCase(Locale.ROOT));
	}

}
