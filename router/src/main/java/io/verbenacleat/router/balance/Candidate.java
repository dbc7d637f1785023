package io.verbenacleat.router.balance;

import io.verbenacleat.router.server.BackendServer;

/**
 * A backend server with what this router knows of it. Immutable.
 *
 * @param server the server
 * @param load the requests that it works on, as far as they are known
 * @param latencyMs the smoothed time to the first byte in milliseconds
 * @param failureRate the smoothed share of sends that failed, 0 to 1
 * @param sameZone whether it is in the availability zone of this router
 */
public record Candidate(BackendServer server, double load, double latencyMs, double failureRate, boolean sameZone) {
}
