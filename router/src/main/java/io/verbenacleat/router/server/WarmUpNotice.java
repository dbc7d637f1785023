package io.verbenacleat.router.server;

/**
 * What the registration of a backend server says about its warm-up. Immutable.
 *
 * @param leftMs the remaining time for which the server warms up in milliseconds, as it
 * was when the registration was received; {@link #INVALID_MS} if the registration has a
 * value that cannot be used
 * @param ageMs the time since the registration was received, in milliseconds
 */
public record WarmUpNotice(long leftMs, long ageMs) {

	/** The remaining time of a notice that cannot be used. */
	public static final long INVALID_MS = -1;

	/**
	 * Longest remaining time that is valid. Servers warm up for some seconds, up to a few
	 * minutes; with a longer time, a faulty server would be of no use.
	 */
	public static final long MAX_LEFT_MS = 600_000;

	/**
	 * Creates a notice that was just received.
	 * @param leftMs the remaining time in milliseconds
	 * @return the notice, invalid if the time is negative or longer than
	 * {@link #MAX_LEFT_MS}
	 */
	public static WarmUpNotice received(double leftMs) {
		// The comparison is false for a value that is not a number.
		boolean valid = leftMs >= 0 && leftMs <= MAX_LEFT_MS;
		return new WarmUpNotice(valid ? (long) Math.ceil(leftMs) : INVALID_MS, 0);
	}

	/**
	 * Returns whether the remaining time can be used.
	 * @return {@code false} if the registration has a value that makes no sense
	 */
	public boolean hasTime() {
		return this.leftMs >= 0 && this.leftMs <= MAX_LEFT_MS && this.ageMs >= 0;
	}

}
