package io.verbenacleat.core.daemon;

import java.util.Locale;
import java.util.Set;

/**
 * Tells which headers concern one connection only (RFC 9110, section 7.6.1), with those
 * that frame a message on it.
 */
public final class ConnectionHeaders {

	private static final Set<String> NAMES = Set.of("connection", "proxy-connection", "keep-alive", "te", "trailer",
			"transfer-encoding", "upgrade", "proxy-authenticate", "proxy-authorization", "content-length", "expect");

	private ConnectionHeaders() {
	}

	/**
	 * Returns whether a header concerns one connection only.
	 * @param name the name, in any case
	 * @return {@code true} when it is not passed on
	 */
	public static boolean contains(String name) {
		return NAMES.contains(name.toLowerCase(Locale.ROOT));
	}

}
