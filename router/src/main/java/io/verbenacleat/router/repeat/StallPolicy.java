package io.verbenacleat.router.repeat;

/**
 * Decides when a request that receives no data counts as stalled and should be retried at
 * another server. A busy model server queues requests while it writes the responses of
 * others. Retrying these queued requests would only add load to other servers. Stateless.
 */
public final class StallPolicy {

	/**
	 * Stall timeout of a request at a silent server, and the upper limit for plain
	 * services. Engines write every 10 to 50 ms, and plain services respond within their
	 * target latency.
	 */
	private static final long SERVER_STALL_MS = 700;

	/**
	 * Stall timeout of a connection that is silent while others of the server receive
	 * data. Longer than the queueing time of a prompt at a server that is not overloaded.
	 */
	private static final long CONNECTION_STALL_MS = 1_800;

	private StallPolicy() {
	}

	/**
	 * Returns whether a request is stalled.
	 * @param silentMs the time since the last data of the request in milliseconds
	 * @param serverSilent whether the server sends no data on any connection to this
	 * router
	 * @param modelService whether the server runs language models
	 * @param targetLatencyMs the target latency of the route in milliseconds
	 * @return {@code true} if another server should be tried
	 */
	public static boolean isStalled(long silentMs, boolean serverSilent, boolean modelService, long targetLatencyMs) {
		if (!modelService) {
			return silentMs > Math.min(SERVER_STALL_MS, targetLatencyMs);
		}
		return silentMs > (serverSilent ? SERVER_STALL_MS : CONNECTION_STALL_MS);
	}

}
