package io.verbenacleat.router.balance;

/**
 * What the servers of a service accept while they warm up. Immutable.
 *
 * @param startMs how long a server warms up after its start unless it states otherwise,
 * in milliseconds
 * @param requestsPerS the requests per second that a server tolerates, more than 0
 * @param maxRequestsPerS the requests that a server may receive in any second from all
 * routers together
 */
public record WarmUpLimit(long startMs, double requestsPerS, double maxRequestsPerS) {
}
