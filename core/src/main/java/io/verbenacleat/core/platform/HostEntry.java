package io.verbenacleat.core.platform;

/**
 * One host in the host list of the platform. Immutable.
 *
 * @param host the IP address of the host
 * @param zone the availability zone of the host
 * @param state whether the host is live or leaving
 */
public record HostEntry(String host, String zone, State state) {

	/**
	 * The state of a host.
	 */
	public enum State {

		/** The host is in use. */
		LIVE,

		/** The platform is about to remove the host. */
		LEAVING

	}

}
