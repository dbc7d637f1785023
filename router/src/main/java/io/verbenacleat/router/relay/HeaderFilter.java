package io.verbenacleat.router.relay;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.verbenacleat.core.daemon.ConnectionHeaders;

/**
 * Copies the headers that a proxy forwards (RFC 9110, section 7.6.1). Headers that the
 * router evaluates or sets itself are removed from requests. Immutable and thread safe.
 */
final class HeaderFilter {

	private final Set<String> removedFromRequests = new HashSet<>();

	HeaderFilter(HeaderNames names) {
		this.removedFromRequests.addAll(names.routerOnly());
		this.removedFromRequests.add(lower(names.callerKey()));
		this.removedFromRequests.add(lower(names.workspace()));
		this.removedFromRequests.add(lower(names.targetServer()));
		this.removedFromRequests.add(lower(names.priority()));
		this.removedFromRequests.add(lower(names.deadlineMs()));
	}

	void copyRequest(HttpHeaders from, HttpHeaders to) {
		copy(from, to, this.removedFromRequests);
	}

	void copyResponse(HttpHeaders from, HttpHeaders to) {
		copy(from, to, Set.of());
	}

	private static void copy(HttpHeaders from, HttpHeaders to, Set<String> removed) {
		Set<String> connectionOptions = new HashSet<>();
		for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",", -1)) {
				connectionOptions.add(lower(name.strip()));
			}
		}
		for (Map.Entry<String, String> header : from) {
			String name = lower(header.getKey());
			if (!ConnectionHeaders.contains(name) && !connectionOptions.contains(name) && !removed.contains(name)) {
				to.add(header.getKey(), header.getValue());
			}
		}
	}

	private static String lower(String name) {
		return name.toLowerCase(Locale.ROOT);
	}

}
