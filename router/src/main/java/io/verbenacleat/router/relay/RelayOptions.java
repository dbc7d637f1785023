package io.verbenacleat.router.relay;

/**
 * The settings of the relay. Immutable.
 *
 * @param headerNames the names of the HTTP headers
 * @param zone the availability zone of this router
 * @param retryRatio the allowed retries per request, over all routers
 * @param retryExtra the allowed retries per window in addition to the ratio, over all
 * routers
 * @param minRouters the minimum number of routers that share these retries, 1 or more
 * @param retryWindowMs the window of the retry budget, in milliseconds
 * @param linkMbps the rate of the host's network link in Mbit/s, 0 if unknown
 */
public record RelayOptions(HeaderNames headerNames, String zone, double retryRatio, double retryExtra, int minRouters,
		long retryWindowMs, double linkMbps) {
}
