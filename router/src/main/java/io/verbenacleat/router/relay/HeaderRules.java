package io.verbenacleat.router.relay;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.verbenacleat.core.daemon.ConnectionHeaders;

/**
 * Copies the headers that are passed on (RFC 9110, section 7.6.1). Immutable.
 */
final class HeaderRules {

	private final Set<String> notFromCallers = new HashSet<>();

	HeaderRules(HeaderNames names) {
		this.notFromCallers.addAll(names.routerOnly());
		this.notFromCallers.add(lower(names.callerKey()));
		this.notFromCallers.add(lower(names.workspace()));
		this.notFromCallers.add(lower(names.targetServer()));
		this.notFromCallers.add(lower(names.priority()));
		this.notFromCallers.add(lower(names.deadlineMs()));
	}

	void copyRequest(HttpHeaders from, HttpHeaders to) {
		copy(from, to, this.notFromCallers);
	}

	void copyResponse(HttpHeaders from, HttpHeaders to) {
		copy(from, to, Set.of());
	}

	private static void copy(HttpHeaders from, HttpHeaders to, Set<String> removed) {
		Set<String> named = new HashSet<>();
		for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",", -1)) {
				named.add(lower(name.strip()));
			}
		}
		for (Map.Entry<String, String> header : from) {
			String name = lower(header.getKey());
			if (!ConnectionHeaders.contains(name) && !named.contains(name) && !removed.contains(name)) {
				to.add(header.getKey(), header.getValue());
			}
		}
	}

	private static String lower(String name) {
		return name.toLowerCase(Locale.ROOT);
	}

}
