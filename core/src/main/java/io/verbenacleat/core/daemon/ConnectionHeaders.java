package io.verbenacleat.core.daemon;

import java.util.Locale;
import java.util.Set;

/**
 * The headers that apply to a single connection (RFC 9110, section 7.6.1) or to the
 * framing of a message on it, and that a proxy must not forward. Stateless.
 */
public final class ConnectionHeaders {

	private static final Set<String> NAMES = Set.of("connection", "proxy-connection", "keep-alive", "te", "trailer",
			"transfer-encoding", "upgrade", "proxy-authenticate", "proxy-authorization", "content-length", "expect");

	private ConnectionHeaders() {
	}

	/**
	 * Returns whether a header applies to a single connection.
	 * @param name the name of the header, in upper or lower case
	 * @return {@code true} if the header must not be forwarded
	 */
	public static boolean contains(String name) {
		return NAMES.contains(name.toLowerCase(Locale.ROOT));
	}

}
