package io.verbenacleat.router.relay;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Why the router answers a request itself. The name in lower case is the code of the
 * problem details and the label of the counter.
 */
enum Refusal {

	/** The request cannot be read. */
	BAD_REQUEST(HttpResponseStatus.BAD_REQUEST, true),

	/** The head of the request is too large. */
	HEADERS_TOO_LARGE(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, true),

	/** No route matches. */
	NO_ROUTE(HttpResponseStatus.NOT_FOUND, true),

	/** The key is missing or unknown. */
	UNKNOWN_KEY(HttpResponseStatus.UNAUTHORIZED, true),

	/** The prepaid tokens do not cover the request. */
	PREPAID_EXHAUSTED(HttpResponseStatus.PAYMENT_REQUIRED, true),

	/** The prepaid tokens are held by other routers, or the store does not answer. */
	PREPAID_UNAVAILABLE(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The router has no configuration yet. */
	NOT_CONFIGURED(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The router is stopping. */
	STOPPING(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The router holds too many requests. */
	OVERLOADED(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** No backend server can be used, or none took the request. */
	NO_SERVER(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The time was used up before the request was sent. */
	TIMED_OUT_UNSENT(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The time was used up after the request was sent. */
	TIMED_OUT(HttpResponseStatus.GATEWAY_TIMEOUT, false),

	/** The answer of the backend server was lost. */
	ANSWER_LOST(HttpResponseStatus.BAD_GATEWAY, false);

	private final HttpResponseStatus status;

	private final boolean notRun;

	Refusal(HttpResponseStatus status, boolean notRun) {
		this.status = status;
		this.notRun = notRun;
	}

	HttpResponseStatus status() {
		return this.status;
	}

	boolean isNotRun() {
		return this.notRun;
	}

	boolean isTemporary() {
		return this.status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
	}

}
