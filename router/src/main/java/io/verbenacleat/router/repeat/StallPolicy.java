package io.verbenacleat.router.repeat;

/**
 * Decides when a server that sends nothing for a request is given up for it. A busy model
 * server lets requests wait while it writes to others; giving it up then only adds load
 * elsewhere. Stateless.
 */
public final class StallPolicy {

	/** Engines write each 10 to 50 ms, plain services answer within their target. */
	private static final long SERVER_STALL_MS = 700;

	/**
	 * A single connection may go silent while others work; longer than a prompt waits in
	 * the queue of a server that is not overloaded.
	 */
	private static final long CONNECTION_STALL_MS = 1_800;

	private StallPolicy() {
	}

	/**
	 * Decides by what is known of the connection and of the server.
	 * @param silentMs how long nothing came for the request, in milliseconds
	 * @param serverSilent whether the server sends nothing to this router at all
	 * @param modelService whether the server runs language models
	 * @param targetLatencyMs the time within which an answer is on time, in milliseconds
	 * @return {@code true} when another server should be tried
	 */
	public static boolean isStalled(long silentMs, boolean serverSilent, boolean modelService, long targetLatencyMs) {
		if (!modelService) {
			return silentMs > Math.min(SERVER_STALL_MS, targetLatencyMs);
		}
		return silentMs > (serverSilent ? SERVER_STALL_MS : CONNECTION_STALL_MS);
	}

}
