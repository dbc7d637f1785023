package io.verbenacleat.router.relay;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

/**
 * Parses the Keep-Alive header, by which a server states how long it keeps an idle
 * connection open. Stateless.
 */
final class KeepAliveHeader {

	private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*([0-9]{1,6})");

	private static final long MS_PER_SECOND = 1_000;

	/**
	 * Margin for the header's whole seconds: the real timeout may be almost one second
	 * shorter.
	 */
	private static final long ROUNDING_MS = 1_000;

	private KeepAliveHeader() {
	}

	/**
	 * Returns how long a connection may be idle and still be reused.
	 * @param header the value of Keep-Alive, or {@code null}
	 * @return the time in milliseconds, shorter than the stated timeout and at most
	 * {@link ServerConnections#MAX_IDLE_MS}, which also applies without a timeout in the
	 * header
	 */
	static long idleLimitMs(@Nullable String header) {
		if (header == null) {
			return ServerConnections.MAX_IDLE_MS;
		}
		Matcher matcher = TIMEOUT.matcher(header);
		if (!matcher.find()) {
			return ServerConnections.MAX_IDLE_MS;
		}
		long limitMs = Long.parseLong(matcher.group(1)) * MS_PER_SECOND - ROUNDING_MS;
		return Math.max(0, Math.min(ServerConnections.MAX_IDLE_MS, limitMs));
	}

}
