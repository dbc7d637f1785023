package io.verbenacleat.router.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.verbenacleat.router.balance.ServerState;
import org.jspecify.annotations.Nullable;

/**
 * What the head of an answer tells about the server itself: that it is about to leave, or
 * that it wants a pause. Stateless.
 */
final class ServerStatusHeaders {

	private static final String LEAVING = "1";

	private static final double MS_PER_SECOND = 1_000;

	/** A server that wants a longer pause is asked again; its registration tells more. */
	private static final double MAX_PAUSE_S = 300;

	private ServerStatusHeaders() {
	}

	/**
	 * Notes what an answer tells.
	 * @param relay gives the names of headers, the time and the log
	 * @param response the head of the answer
	 * @param state the server
	 */
	static void apply(Relay relay, HttpResponse response, ServerState state) {
		String leaving = response.headers().get(relay.headerNames().serverLeaving());
		if (leaving != null && leaving.strip().equals(LEAVING) && state.onLeaving()) {
			relay.log().event("server.leaving").with("server", state.server().id()).emit();
		}
		if (response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
			long pauseMs = pauseMs(response.headers().get(HttpHeaderNames.RETRY_AFTER));
			if (pauseMs > 0) {
				state.onPause(relay.nowMs(), pauseMs);
				relay.log().event("server.paused").with("server", state.server().id()).with("pause_ms", pauseMs).emit();
			}
		}
	}

	/**
	 * Reads the time that a server asks for.
	 * @param retryAfter the value of Retry-After in seconds, which may have a fraction,
	 * or {@code null}
	 * @return the time in milliseconds, rounded up, 0 when the value is not a number of
	 * seconds
	 */
	static long pauseMs(@Nullable String retryAfter) {
		if (retryAfter == null || !retryAfter.strip().matches("[0-9]{1,12}([.][0-9]{1,9})?")) {
			return 0;
		}
		double seconds = Math.min(MAX_PAUSE_S, Double.parseDouble(retryAfter.strip()));
		return (long) Math.ceil(seconds * MS_PER_SECOND);
	}

}
