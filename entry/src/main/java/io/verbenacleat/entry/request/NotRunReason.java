package io.verbenacleat.entry.request;

import java.util.Locale;

import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.Refused;

/**
 * Why an order was not run. Immutable.
 *
 * @param label the value for the counters
 * @param code the refusal that a caller sees when no other agent is tried
 * @param retryable whether another agent may take the order
 * @param retryAfterMs when to come back as the agent said, or 0
 */
record NotRunReason(String label, RefusalCode code, boolean retryable, long retryAfterMs) {

	/** The agent could not be connected to. */
	static final NotRunReason UNREACHABLE = new NotRunReason("unreachable", RefusalCode.NO_BACKEND_SERVER, true, 0);

	/** The agent made sure that the order never starts. */
	static final NotRunReason NEVER_STARTED = new NotRunReason("never_started", RefusalCode.NO_BACKEND_SERVER, true, 0);

	/**
	 * Returns the reason that an agent gave.
	 * @param refused the refusal
	 * @return the reason
	 */
	static NotRunReason of(Refused refused) {
		RefusalReason reason = refused.getReason();
		RefusalCode code = switch (reason) {
			case GATEWAY_CLOSED -> RefusalCode.NOT_READY;
			case HOLDER_CLOSED -> RefusalCode.BUDGET_UNREACHABLE;
			default -> RefusalCode.NO_BACKEND_SERVER;
		};
		// Every agent refuses the orders of a closed gateway and on a closed holder.
		boolean retryable = reason != RefusalReason.GATEWAY_CLOSED && reason != RefusalReason.HOLDER_CLOSED;
		return new NotRunReason(reason.name().toLowerCase(Locale.ROOT), code, retryable, refused.getRetryAfterMs());
	}

}
