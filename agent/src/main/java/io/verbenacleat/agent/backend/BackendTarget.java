package io.verbenacleat.agent.backend;

/**
 * Address of a backend server and fencing token for requests to it. Immutable.
 *
 * @param url the base URL; trailing slashes are removed
 * @param fencingToken the fencing token of this agent
 */
public record BackendTarget(String url, long fencingToken) {

	/** Name of the header with the fencing token. */
	public static final String FENCING_HEADER = "Fencing-Token";

	/** Name of the header with the request id. */
	public static final String REQUEST_ID_HEADER = "Verbena-Request-Id";

	/**
	 * Creates a target.
	 */
	public BackendTarget {
		url = url.replaceFirst("/+$", "");
	}

}
