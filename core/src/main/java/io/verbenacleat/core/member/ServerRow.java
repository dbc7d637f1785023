package io.verbenacleat.core.member;

/**
 * The row {@code server/<backend server>}: who may send work to a backend server.
 * Immutable.
 *
 * @param fence the fencing number, raised by each agent at its start
 * @param agentIncarnation the agent that raised it last
 */
public record ServerRow(long fence, String agentIncarnation) {

	/** The prefix of the table keys. */
	public static final String KEY_PREFIX = "server/";

	/**
	 * Returns the table key of a backend server.
	 * @param server the name of the backend server
	 * @return the key
	 */
	public static String key(String server) {
		return KEY_PREFIX + server;
	}

}
