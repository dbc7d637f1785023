package io.verbenacleat.entry.request;

import java.util.Locale;

import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.Refused;

/**
 * The reason why an order was not run. Immutable.
 *
 * @param label the label value for metrics
 * @param code the code for the caller if the order is not retried
 * @param retryable whether the order may be retried at another agent
 * @param retryAfterMs the delay before a retry in milliseconds as returned by the agent,
 * or 0 if there is none
 */
record NotRunReason(String label, RefusalCode code, boolean retryable, long retryAfterMs) {

	/** The order was not sent, as no connection to the agent could be established. */
	static final NotRunReason UNREACHABLE = new NotRunReason("unreachable", RefusalCode.NO_BACKEND_SERVER, true, 0);

	/** The agent has confirmed that the order was not started and never will be. */
	static final NotRunReason NEVER_STARTED = new NotRunReason("never_started", RefusalCode.NO_BACKEND_SERVER, true, 0);

	/**
	 * Returns the reason for the refusal of an agent.
	 * @param refused the refusal of the agent
	 * @return the reason
	 */
	static NotRunReason of(Refused refused) {
		RefusalReason reason = refused.getReason();
		RefusalCode code = switch (reason) {
			case GATEWAY_CLOSED -> RefusalCode.NOT_READY;
			case HOLDER_CLOSED -> RefusalCode.BUDGET_UNREACHABLE;
			default -> RefusalCode.NO_BACKEND_SERVER;
		};
		// No retry, because every agent refuses orders of a closed gateway and orders
		// reserved at a closed holder.
		boolean retryable = reason != RefusalReason.GATEWAY_CLOSED && reason != RefusalReason.HOLDER_CLOSED;
		return new NotRunReason(reason.name().toLowerCase(Locale.ROOT), code, retryable, refused.getRetryAfterMs());
	}

}
