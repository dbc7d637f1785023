package io.verbenacleat.router.relay;

import io.verbenacleat.router.balance.SelectionKind;
import io.verbenacleat.router.balance.WarmUpLimit;
import io.verbenacleat.router.config.Service;

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
 * @param warmUpBound how many requests servers may receive while they warm up
 */
public record RelayOptions(HeaderNames headerNames, String zone, double retryRatio, double retryExtra, int minRouters,
		long retryWindowMs, SelectionKind selection, WarmUpBound warmUpBound) {

	/**
	 * Creates settings with the default policy for the selection of servers and
	 * {@link WarmUpBound#DEFAULT}.
	 * @param headerNames the names of the HTTP headers
	 * @param zone the availability zone of this router
	 * @param retryRatio the allowed retries per request, over all routers
	 * @param retryExtra the allowed retries per window in addition to the ratio
	 * @param minRouters the minimum number of routers that share these retries
	 * @param retryWindowMs the window of the retry budget, in milliseconds
	 */
	public RelayOptions(HeaderNames headerNames, String zone, double retryRatio, double retryExtra, int minRouters,
			long retryWindowMs) {
		this(headerNames, zone, retryRatio, retryExtra, minRouters, retryWindowMs, SelectionKind.LEAST_LOADED,
				WarmUpBound.DEFAULT);
	}

	/**
	 * The requests that a server may receive in any second while it warms up, by the rate
	 * that it tolerates. Immutable.
	 *
	 * @param ratio the multiple of the rate
	 * @param extra the requests in addition to that
	 */
	public record WarmUpBound(double ratio, double extra) {

		/** The bound without settings, which is the tolerated rate itself. */
		public static final WarmUpBound DEFAULT = new WarmUpBound(1, 0);

		WarmUpLimit limit(Service.WarmUp warmUp) {
			return new WarmUpLimit(warmUp.startMs(), warmUp.requestsPerS(),
					warmUp.requestsPerS() * this.ratio + this.extra);
		}

	}

}
