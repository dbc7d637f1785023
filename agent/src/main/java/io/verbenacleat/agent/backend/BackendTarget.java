package io.verbenacleat.agent.backend;

/**
 * Where requests go and how they are marked. Immutable.
 *
 * @param url the base URL without a slash at its end
 * @param fencingToken the fencing number of this agent
 */
public record BackendTarget(String url, long fencingToken) {

	/** The header with the fencing number. */
	public static final String FENCING_HEADER = "Fencing-Token";

	/** The header with the request id. */
	public static final String REQUEST_ID_HEADER = "Verbena-Request-Id";

	/**
	 * Creates a target.
	 */
	public BackendTarget {
		url = url.replaceFirst("/+$", "");
	}

}
