package io.verbenacleat.entry.http;

import java.util.Locale;
import java.util.Set;

import io.verbenacleat.core.daemon.ConnectionHeaders;

/**
 * Classifies the headers that are not forwarded: those of a single connection (RFC 9110,
 * section 7.6.1) and those that the gateway sets or evaluates itself. Stateless.
 */
final class HopByHopHeaders {

	private static final Set<String> GATEWAY_HEADERS = Set.of("host", "authorization", "verbena-request-id",
			"verbena-timeout-ms");

	private HopByHopHeaders() {
	}

	/**
	 * Returns whether a header is forwarded.
	 * @param name the header name, in any case
	 * @return {@code true} if the header is forwarded
	 */
	static boolean isEndToEnd(String name) {
		return !ConnectionHeaders.contains(name) && !GATEWAY_HEADERS.contains(name.toLowerCase(Locale.ROOT));
	}

}
