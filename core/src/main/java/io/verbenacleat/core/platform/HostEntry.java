package io.verbenacleat.core.platform;

/**
 * One host in the list of the platform. Immutable.
 *
 * @param host the IP number of the host
 * @param zone the availability zone
 * @param state whether the host is live or leaving
 */
public record HostEntry(String host, String zone, State state) {

	/**
	 * The state of a host.
	 */
	public enum State {

		/** The host is in use. */
		LIVE,

		/** The host is about to be taken away. */
		LEAVING

	}

}
