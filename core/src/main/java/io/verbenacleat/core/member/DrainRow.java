package io.verbenacleat.core.member;

/**
 * The row {@code drain/<backend server>}: whether a backend server is to receive no new
 * work. Immutable.
 *
 * @param draining whether it drains
 * @param by who said so
 * @param atMs when, in milliseconds since the epoch
 */
public record DrainRow(boolean draining, String by, long atMs) {

	/** The prefix of the table keys. */
	public static final String KEY_PREFIX = "drain/";

	/**
	 * Returns the table key of a backend server.
	 * @param server the name of the backend server
	 * @return the key
	 */
	public static String key(String server) {
		return KEY_PREFIX + server;
	}

}
