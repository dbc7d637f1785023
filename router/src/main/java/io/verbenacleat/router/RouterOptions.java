package io.verbenacleat.router;

import java.util.List;

import io.verbenacleat.router.relay.RelayOptions;

/**
 * The options of a router. Immutable.
 *
 * @param name the name of the host
 * @param host the IP address of the host
 * @param callerPort the port for callers
 * @param readyHost the IP address of the readiness check
 * @param readyPort the port of the readiness check
 * @param metricsPort the port of the metrics endpoint
 * @param peerPort the port for other routers, {@link #NO_PEERS} for none
 * @param seeds the peer addresses of some routers as {@code ip:port}, which may be
 * unreachable
 * @param stopTimeoutMs the time from SIGTERM to the end of the process in milliseconds
 * @param heartbeatMs how often backend servers renew their registrations, in milliseconds
 * @param startedAtNanos an upper bound of the start time of the process, by the steady
 * clock
 * @param firstStart whether the whole fleet starts for the first time
 * @param capacityCores the processor capacity of the host in cores, 0 if unknown
 * @param relay the options of the relay
 */
public record RouterOptions(String name, String host, int callerPort, String readyHost, int readyPort, int metricsPort,
		int peerPort, List<String> seeds, long stopTimeoutMs, long heartbeatMs, long startedAtNanos, boolean firstStart,
		double capacityCores, RelayOptions relay) {

	/** The peer port of a router that does not listen for other routers. */
	public static final int NO_PEERS = -1;

	/**
	 * Creates options with a copy of the list of seeds.
	 */
	public RouterOptions {
		seeds = List.copyOf(seeds);
	}

}
