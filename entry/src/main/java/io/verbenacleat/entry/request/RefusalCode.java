package io.verbenacleat.entry.request;

import java.util.Locale;

/**
 * The reason why a request was refused or failed. The lower-case name is the stable code
 * in responses to callers and in metrics.
 */
public enum RefusalCode {

	/** The bearer key is missing or unknown. */
	INVALID_API_KEY(401),

	/** The key was revoked. */
	REVOKED_API_KEY(401),

	/** The body or a header is malformed. */
	INVALID_REQUEST(400),

	/** A parameter is not supported or out of range. */
	INVALID_PARAMETER(400),

	/** A request that may not be repeated needs an Idempotency-Key. */
	IDEMPOTENCY_KEY_REQUIRED(400),

	/** The model is not configured. */
	MODEL_NOT_FOUND(404),

	/** No route to a plain service matches. */
	ROUTE_NOT_FOUND(404),

	/** The body exceeds the size limit. */
	BODY_TOO_LARGE(413),

	/** The Idempotency-Key was already used for a different request. */
	IDEMPOTENCY_KEY_REUSED(422),

	/** The remaining budget does not cover the request. */
	INSUFFICIENT_QUOTA(402),

	/** The remaining budget is reserved by requests in progress. */
	BUDGET_RESERVED(429),

	/** No holder that could cover the request can be reached. */
	BUDGET_UNREACHABLE(503),

	/**
	 * The journal is full of receipts that wait for the table service, and accepts no
	 * more.
	 */
	JOURNAL_FULL(503),

	/** The table service cannot store the claim of a request that may not be repeated. */
	CLAIM_STORE_UNREACHABLE(503),

	/** The first request with this Idempotency-Key is still in progress. */
	REQUEST_IN_PROGRESS(409),

	/** The outcome of the first request with this Idempotency-Key is unknown. */
	OUTCOME_UNKNOWN(409),

	/** The entry has reached its limit of requests in progress. */
	OVERLOADED(503),

	/** The account has reached its limit of requests in progress at this entry. */
	ACCOUNT_OVERLOADED(429),

	/** The workspace has reached its share of the requests in progress at this entry. */
	WORKSPACE_OVERLOADED(429),

	/** No agent for the model or service accepts orders. */
	NO_BACKEND_SERVER(503),

	/** The entry is stopping or has no configuration. */
	NOT_READY(503),

	/** The configuration was last refreshed too long ago. */
	CONFIG_STALE(503),

	/** The request timed out. */
	TIMEOUT(504),

	/** The order stream failed, and it is unknown whether the order was run. */
	ORDER_LOST(502),

	/** The backend server failed while it ran the request. */
	BACKEND_FAILED(502),

	/** The response is incomplete. */
	ANSWER_INCOMPLETE(502);

	private final int status;

	RefusalCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the code that is sent to callers.
	 * @return the lower-case name
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

}
