package io.verbenacleat.agent.service;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.verbenacleat.proto.v1.HttpHeader;

/**
 * Removes the headers that apply to a single connection (RFC 9110, section 7.6.1).
 * Stateless.
 */
final class HopByHopHeaders {

	private static final Set<String> REMOVED_NAMES = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host",
			"content-length");

	private HopByHopHeaders() {
	}

	/**
	 * Returns the end-to-end headers.
	 * @param headers all headers of a request or response
	 * @return the headers that may be forwarded, in the same order
	 */
	static List<HttpHeader> remove(List<HttpHeader> headers) {
		Set<String> removed = new HashSet<>(REMOVED_NAMES);
		for (HttpHeader header : headers) {
			if (header.getName().equalsIgnoreCase("connection")) {
				for (String name : header.getValue().split(",", -1)) {
					removed.add(name.strip().toLowerCase(Locale.ROOT));
				}
			}
		}
		return headers.stream()
			.filter((header) -> !removed.contains(header.getName().toLowerCase(Locale.ROOT)))
			.toList();
	}

}
