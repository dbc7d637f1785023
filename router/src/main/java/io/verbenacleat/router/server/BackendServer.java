package io.verbenacleat.router.server;

/**
 * One incarnation of a backend server as it registered itself. Immutable.
 *
 * @param id the identity that requests name, so that no other server runs them
 * @param startedAtMs when this incarnation started, in milliseconds of Unix time; an
 * identity may start again
 * @param service the name of its service
 * @param host the IP number
 * @param port the port
 * @param zone the availability zone
 * @param slots the requests that it runs at the same time
 * @param draining whether it is about to leave
 */
public record BackendServer(String id, long startedAtMs, String service, String host, int port, String zone, int slots,
		boolean draining) {

	/**
	 * Returns what stays the same for the whole incarnation, to be used as a key.
	 * @return a registration that differs from others of the incarnation in nothing
	 */
	public BackendServer incarnationKey() {
		return new BackendServer(this.id, this.startedAtMs, "", this.host, this.port, "", 0, false);
	}

	/**
	 * Returns whether another registration is of the same incarnation.
	 * @param other the other registration
	 * @return {@code true} when it is
	 */
	public boolean isSameIncarnation(BackendServer other) {
		return this.id.equals(other.id) && this.startedAtMs == other.startedAtMs && this.port == other.port
				&& this.host.equals(other.host);
	}

}
