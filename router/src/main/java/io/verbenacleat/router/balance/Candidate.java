package io.verbenacleat.router.balance;

import io.verbenacleat.router.server.BackendServer;

/**
 * A backend server with the load, latency and failure rate that this router has observed.
 * Immutable.
 *
 * @param server the server
 * @param load the estimated number of requests in flight at the server
 * @param latencyMs the exponentially smoothed time to the first byte in milliseconds
 * @param failureRate the exponentially smoothed fraction of failed sends, 0 to 1
 * @param sameZone whether the server is in the same availability zone as this router
 */
public record Candidate(BackendServer server, double load, double latencyMs, double failureRate, boolean sameZone) {
}
