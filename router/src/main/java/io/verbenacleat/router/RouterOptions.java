package io.verbenacleat.router;

import java.util.List;

import io.verbenacleat.router.relay.RelayOptions;

/**
 * The settings of a router. Immutable.
 *
 * @param name the name of the host
 * @param host the IP number of the host
 * @param callerPort the port for callers
 * @param readyHost the IP number for the readiness check
 * @param readyPort the port for the readiness check
 * @param metricsPort the port for metrics
 * @param peerPort the port for other routers, {@link #NO_PEERS} for none
 * @param seeds the peer addresses of some routers, as {@code ip:port}; they may be down
 * @param stopTimeoutMs the time from SIGTERM to the end of the process in milliseconds
 * @param startedAtNanos when the process had started at the latest, by the steady clock
 * @param relay the settings of the relay
 */
public record RouterOptions(String name, String host, int callerPort, String readyHost, int readyPort, int metricsPort,
		int peerPort, List<String> seeds, long stopTimeoutMs, long startedAtNanos, RelayOptions relay) {

	/** The peer port of a router that does not listen for other routers. */
	public static final int NO_PEERS = -1;

	/**
	 * Copies the list.
	 */
	public RouterOptions {
		seeds = List.copyOf(seeds);
	}

}
