package io.verbenacleat.router;

import java.time.Duration;

/**
 * Splits the grace period between SIGTERM and SIGKILL into the phases of a shutdown.
 * Immutable.
 *
 * @param drain the maximum time for requests in flight to complete
 * @param grantReturn the maximum time after the drain for returning the remaining tokens
 * to the store
 */
record StopSchedule(Duration drain, Duration grantReturn) {

	/** The time that the process needs to exit on half a core. */
	private static final Duration PROCESS_EXIT = Duration.ofMillis(350);

	/**
	 * The time of one write to the store. Nearly all tokens are returned during the
	 * drain.
	 */
	private static final Duration GRANT_RETURN = Duration.ofMillis(350);

	/**
	 * Returns the schedule for a grace period.
	 * @param grace the time between SIGTERM and SIGKILL
	 * @return the schedule, with a drain of zero if the grace period is too short
	 */
	static StopSchedule of(Duration grace) {
		Duration drain = grace.minus(PROCESS_EXIT).minus(GRANT_RETURN);
		return new StopSchedule(drain.isNegative() ? Duration.ZERO : drain, GRANT_RETURN);
	}

}
