package io.verbenacleat.router.relay;

import io.verbenacleat.router.balance.SelectionKind;

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
 * @param selection the policy that selects the servers of model services
 * @param linkMbps the rate of the host's network link in Mbit/s, 0 if unknown
 */
public record RelayOptions(HeaderNames headerNames, String zone, double retryRatio, double retryExtra, int minRouters,
		long retryWindowMs, SelectionKind selection, double linkMbps) {

	/**
	 * Creates settings with the default policy for the selection of servers and an
	 * unknown link.
	 * @param headerNames the names of the HTTP headers
	 * @param zone the availability zone of this router
	 * @param retryRatio the allowed retries per request, over all routers
	 * @param retryExtra the allowed retries per window in addition to the ratio
	 * @param minRouters the minimum number of routers that share these retries
	 * @param retryWindowMs the window of the retry budget, in milliseconds
	 */
	public RelayOptions(HeaderNames headerNames, String zone, double retryRatio, double retryExtra, int minRouters,
			long retryWindowMs) {
		this(headerNames, zone, retryRatio, retryExtra, minRouters, retryWindowMs, SelectionKind.LEAST_LOADED, 0);
	}

}
