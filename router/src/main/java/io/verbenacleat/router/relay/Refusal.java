package io.verbenacleat.router.relay;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The reasons for which the router responds to a request itself. The name in lower case
 * is the code in the problem details and the value of the metric label.
 */
enum Refusal {

	/** The request cannot be parsed. */
	BAD_REQUEST(HttpResponseStatus.BAD_REQUEST, true),

	/** The body of the request has a transfer coding other than chunked. */
	CODING_NOT_SUPPORTED(HttpResponseStatus.NOT_IMPLEMENTED, true),

	/** The request line or the headers are too large. */
	HEADERS_TOO_LARGE(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, true),

	/** The body is larger than the limit. */
	BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, true),

	/** The request expects something other than 100 Continue. */
	EXPECTATION_FAILED(HttpResponseStatus.EXPECTATION_FAILED, true),

	/** No route matches. */
	NO_ROUTE(HttpResponseStatus.NOT_FOUND, true),

	/** The caller's key is missing or unknown. */
	UNKNOWN_KEY(HttpResponseStatus.UNAUTHORIZED, true),

	/** The workspace has fewer prepaid tokens than the request needs. */
	PREPAID_EXHAUSTED(HttpResponseStatus.PAYMENT_REQUIRED, true),

	/** Other routers hold the prepaid tokens, or the store does not respond. */
	PREPAID_UNAVAILABLE(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The router has no configuration yet. */
	NOT_CONFIGURED(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The router is stopping. */
	STOPPING(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The memory for request bodies is used up. */
	OVERLOADED(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** No backend server is available, or none accepted the request. */
	NO_SERVER(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The backend servers limit requests, and this router has no permit. */
	SERVERS_LIMITED(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The backend servers warm up, and this router has no permit. */
	SERVERS_WARMING_UP(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** All backend servers of the service are in evacuated zones. */
	ZONES_EVACUATED(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** A part of the prompt crashes backend servers. */
	PART_REFUSED(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The request itself crashes backend servers. */
	REQUEST_REFUSED(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The software version that began the stream is uncertain. */
	STREAM_UNKNOWN(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** No server runs the software version that began the stream. */
	STREAM_VERSION_GONE(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The store did not tell the software version that began the stream. */
	STREAM_NOT_FOUND(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The deadline passed before the request was sent. */
	TIMED_OUT_UNSENT(HttpResponseStatus.SERVICE_UNAVAILABLE, true),

	/** The deadline passed after the request was sent. */
	TIMED_OUT(HttpResponseStatus.GATEWAY_TIMEOUT, false),

	/** The response of the backend server was lost. */
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

	/**
	 * Returns whether the same request may be accepted later. A stream that cannot be
	 * resumed has to be begun anew.
	 * @return {@code true} if the response has a Retry-After header
	 */
	boolean isTemporary() {
		return this.status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) && this != STREAM_UNKNOWN
				&& this != STREAM_VERSION_GONE;
	}

}
