package io.verbenacleat.router.relay;

import java.util.Locale;
import java.util.OptionalDouble;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.server.WarmUpNotice;
import org.jspecify.annotations.Nullable;

/**
 * Reads the response headers by which a backend server announces that it is about to
 * leave, asks for a pause, limits requests or warms up, and updates the state of the
 * server. Stateless.
 */
final class ServerStatusHeaders {

	private static final String LEAVING = "1";

	private static final double MS_PER_SECOND = 1_000;

	/**
	 * Longest pause from one response. A server that needs more can ask again, or change
	 * its registration.
	 */
	private static final double MAX_PAUSE_S = 300;

	private ServerStatusHeaders() {
	}

	/**
	 * Applies the headers of a response to the state of the server, and logs a change.
	 * @param relay provides the header names, the clock and the log
	 * @param response the head of the response
	 * @param state the state to update
	 * @param sentAtMs when the request was sent, by the steady time in milliseconds
	 * @param source the kind of request that the response belongs to
	 */
	static void apply(Relay relay, HttpResponse response, ServerState state, long sentAtMs, Source source) {
		String leaving = response.headers().get(relay.headerNames().serverLeaving());
		if (leaving != null && leaving.strip().equals(LEAVING) && state.onLeaving()) {
			relay.log().event("server.leaving").with("server", state.server().id()).emit();
		}
		applyLimit(relay, response, state, sentAtMs, source);
		applyWarmUp(relay, response, state);
		if (response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
			long pauseMs = pauseMs(response.headers().get(HttpHeaderNames.RETRY_AFTER));
			if (pauseMs > 0) {
				state.onPause(relay.nowMs(), pauseMs);
				relay.log().event("server.paused").with("server", state.server().id()).with("pause_ms", pauseMs).emit();
			}
		}
	}

	private static void applyLimit(Relay relay, HttpResponse response, ServerState state, long sentAtMs,
			Source source) {
		String header = response.headers().get(relay.headerNames().serverLimit());
		OptionalDouble limitPerS = parseDecimal(header);
		boolean changed = false;
		if (limitPerS.isPresent()) {
			changed = state.onLimit(limitPerS.getAsDouble(), sentAtMs, relay.nowMs());
		}
		else if (header == null && response.status().codeClass() == HttpStatusClass.SUCCESS) {
			// A rejection does not have to repeat what the server says of itself.
			changed = state.onNoLimit(sentAtMs);
		}
		if (changed) {
			relay.log()
				.event("server.limited")
				.with("server", state.server().id())
				.with("limit_per_s", limitPerS.isPresent() ? Double.toString(limitPerS.getAsDouble()) : "none")
				.with("source", source.name().toLowerCase(Locale.ROOT))
				.emit();
		}
	}

	private static void applyWarmUp(Relay relay, HttpResponse response, ServerState state) {
		String header = response.headers().get(relay.headerNames().warmUpLeftMs());
		if (header == null) {
			return;
		}
		WarmUpNotice notice = WarmUpNotice.received(parseDecimal(header).orElse(WarmUpNotice.INVALID_MS));
		if (notice.hasTime()) {
			state.onWarmUpStated(notice.leftMs(), relay.nowMs());
		}
		else if (state.onWarmUpInvalid()) {
			relay.onInvalidWarmUp(state);
		}
	}

	/**
	 * Parses the length of a requested pause.
	 * @param retryAfter the value of Retry-After in seconds, which may have a fraction,
	 * or {@code null}
	 * @return the pause in milliseconds, rounded up and at most 300,000; 0 when the value
	 * is not a number of seconds
	 */
	static long pauseMs(@Nullable String retryAfter) {
		double seconds = Math.min(MAX_PAUSE_S, parseDecimal(retryAfter).orElse(0));
		return (long) Math.ceil(seconds * MS_PER_SECOND);
	}

	/**
	 * Parses a header value.
	 * @param value the value, or {@code null}
	 * @return the number, empty when the value is not a decimal number of at most 12
	 * digits before the point
	 */
	static OptionalDouble parseDecimal(@Nullable String value) {
		if (value == null || !value.strip().matches("[0-9]{1,12}([.][0-9]{1,9})?")) {
			return OptionalDouble.empty();
		}
		return OptionalDouble.of(Double.parseDouble(value.strip()));
	}

	/**
	 * The kinds of requests to a backend server.
	 */
	enum Source {

		/** A request of a caller. */
		REQUEST,

		/** A request for the load of the server. */
		LOAD_POLL

	}

}
