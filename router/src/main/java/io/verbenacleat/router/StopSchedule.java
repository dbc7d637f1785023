package io.verbenacleat.router;

import java.time.Duration;

/**
 * How a router uses the time between SIGTERM and SIGKILL. Immutable.
 *
 * @param drain how long requests in progress may run
 * @param grantReturn how long the last tokens may take to be given back, after that
 */
record StopSchedule(Duration drain, Duration grantReturn) {

	/** The time that the process needs to end, on half of a core. */
	private static final Duration PROCESS_EXIT = Duration.ofMillis(350);

	/** One write to the store; nearly all tokens were given back before. */
	private static final Duration GRANT_RETURN = Duration.ofMillis(350);

	/**
	 * Returns the schedule for a grace period.
	 * @param grace the time between SIGTERM and SIGKILL
	 * @return the schedule, without any time for requests when the grace is too short
	 */
	static StopSchedule of(Duration grace) {
		Duration drain = grace.minus(PROCESS_EXIT).minus(GRANT_RETURN);
		return new StopSchedule(drain.isNegative() ? Duration.ZERO : drain, GRANT_RETURN);
	}

}
