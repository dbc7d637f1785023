package io.verbenacleat.bench.routing;

import io.verbenacleat.entry.routing.RoutingPolicy;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Creates the routing policy of each entry of a run. Immutable.
 *
 * @param creator creates the policy of one entry
 * @param usesDirectory whether the policy needs the cache events of the engines
 * @param reportsAtEnd whether the end of an order reports the load of its agent, so that
 * only agents without a recent report are polled. Otherwise all agents are polled at a
 * fixed interval
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
	 * Creates one policy.
	 */
	interface Creator {

		RoutingPolicy create(CacheDirectory directory, UniformRandomProvider random);

	}

}
