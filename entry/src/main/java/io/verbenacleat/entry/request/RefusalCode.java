package io.verbenacleat.entry.request;

import java.util.Locale;

/**
 * Why a request was refused or failed. The lower-case name is the stable code that
 * callers see and that the counters carry.
 */
public enum RefusalCode {

	/** No bearer key, or one that is unknown. */
	INVALID_API_KEY(401),

	/** The key was revoked. */
	REVOKED_API_KEY(401),

	/** The body or a header has a wrong form. */
	INVALID_REQUEST(400),

	/** A parameter is not supported or out of range. */
	INVALID_PARAMETER(400),

	/** A request that may not be repeated needs an Idempotency-Key. */
	IDEMPOTENCY_KEY_REQUIRED(400),

	/** The model is not configured. */
	MODEL_NOT_FOUND(404),

	/** No route of a plain service matches. */
	ROUTE_NOT_FOUND(404),

	/** The body is over the limit. */
	BODY_TOO_LARGE(413),

	/** The same Idempotency-Key was used for another request. */
	IDEMPOTENCY_KEY_REUSED(422),

	/** The budget is used up. */
	INSUFFICIENT_QUOTA(402),

	/** Requests in progress reserve the rest of the budget. */
	BUDGET_RESERVED(429),

	/** No holder that could cover the request can be reached. */
	BUDGET_UNREACHABLE(503),

	/** Receipts wait for the table service; no more are taken. */
	JOURNAL_FULL(503),

	/** The table service cannot take the claim of a request that may not be repeated. */
	CLAIM_STORE_UNREACHABLE(503),

	/** The first request with this Idempotency-Key still runs. */
	REQUEST_IN_PROGRESS(409),

	/** The fate of the first request with this Idempotency-Key is not known. */
	OUTCOME_UNKNOWN(409),

	/** The entry works on as many requests as it may. */
	OVERLOADED(503),

	/** The account has as many requests in progress at this entry as it may. */
	ACCOUNT_OVERLOADED(429),

	/** The workspace has its share of the requests in progress at this entry. */
	WORKSPACE_OVERLOADED(429),

	/** No agent for the model or service takes orders. */
	NO_BACKEND_SERVER(503),

	/** The entry is stopping or has no configuration. */
	NOT_READY(503),

	/** The configuration was not refreshed for too long. */
	CONFIG_STALE(503),

	/** The time of the request ran out. */
	TIMEOUT(504),

	/** The order broke off; whether it was run is not known. */
	ORDER_LOST(502),

	/** The backend server failed while it ran the request. */
	BACKEND_FAILED(502),

	/** The answer was cut short: parts are missing. */
	ANSWER_INCOMPLETE(502);

	private final int status;

	RefusalCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the code that callers see.
	 * @return the lower-case name
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

}
