package io.verbenacleat.core.member;

/**
 * The row {@code server/<backend server>}: the agent that owns a backend server. Only
 * this agent may send work to the server. Immutable.
 *
 * @param fence the fencing token, which each agent increments when it starts
 * @param agentIncarnation the incarnation of the agent that incremented it last
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
