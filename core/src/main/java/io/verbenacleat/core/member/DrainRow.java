package io.verbenacleat.core.member;

/**
 * The row {@code drain/<backend server>}: whether a backend server is draining, that is,
 * gets no new work. Immutable.
 *
 * @param draining whether the server is draining
 * @param by who requested the last change
 * @param atMs when the last change was made, in milliseconds since the epoch
 */
public record DrainRow(boolean draining, String by, long atMs) {

	/** The prefix of the table keys. */
	public static final String KEY_PREFIX = "drain/";

	/**
	 * Returns the table key of the drain row of a backend server.
	 * @param server the name of the backend server
	 * @return the key
	 */
	public static String key(String server) {
		return KEY_PREFIX + server;
	}

}
