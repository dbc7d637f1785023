package io.verbenacleat.bench.routing;

import io.verbenacleat.entry.routing.RoutingPolicy;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Makes the policy of each entry of a run. Immutable.
 *
 * @param creator makes the policy of one entry
 * @param usesDirectory whether the cache events of the engines are needed
 * @param reportsAtEnd whether the end of an order reports the load of its agent, with
 * status calls only to agents that were not heard; else every agent is asked every 2 s
 */
record PolicyFactory(Creator creator, boolean usesDirectory, boolean reportsAtEnd) {

	static PolicyFactory of(Creator creator) {
		return new PolicyFactory(creator, false, true);
	}

	PolicyFactory withDirectory() {
		return new PolicyFactory(this.creator, true, this.reportsAtEnd);
	}

	PolicyFactory withStatusPolling() {
		return new PolicyFactory(this.creator, this.usesDirectory, false);
	}

	/**
	 * Makes one policy.
	 */
	interface Creator {

		RoutingPolicy create(CacheDirectory directory, UniformRandomProvider random);

	}

}
