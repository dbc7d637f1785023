package io.verbenacleat.router.relay;

/**
 * The settings of the relay. Immutable.
 *
 * @param headerNames the names of headers
 * @param zone the availability zone of this router
 * @param retryRatio the repeats for each request, of all routers
 * @param retryExtra the repeats beyond the ratio for each window, of all routers
 * @param minRouters the routers that share them at least, 1 or more
 * @param retryWindowMs the window of the retry budget in milliseconds
 */
public record RelayOptions(HeaderNames headerNames, String zone, double retryRatio, double retryExtra, int minRouters,
		long retryWindowMs) {
}
