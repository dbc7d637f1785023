package io.verbenacleat.router;

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
 * @param stopTimeoutMs the time from SIGTERM to the end of the process in milliseconds
 * @param startedAtNanos when the process had started at the latest, by the steady clock
 * @param relay the settings of the relay
 */
public record RouterOptions(String name, String host, int callerPort, String readyHost, int readyPort, int metricsPort,
		long stopTimeoutMs, long startedAtNanos, RelayOptions relay) {
}
