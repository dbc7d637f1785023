package io.verbenacleat.bench.routing;

import io.verbenacleat.entry.routing.RoutingPolicy;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Makes the policy of each entry of a run. Immutable.
 *
 * @param maker makes the policy of one entry
 * @param usesDirectory whether the cache events of the engines are needed
 * @param reportsAtEnd whether the end of an order reports the load of its agent, with
 * status calls only to agents that were not heard; else every agent is asked every 2 s
 */
record PolicyFactory(Maker maker, boolean usesDirectory, boolean reportsAtEnd) {

	static PolicyFactory of(Maker maker) {
		return new PolicyFactory(maker, false, true);
	}

	PolicyFactory withDirectory() {
		return new PolicyFactory(this.maker, true, this.reportsAtEnd);
	}

	PolicyFactory withStatusRounds() {
		return new PolicyFactory(this.maker, this.usesDirectory, false);
	}

	/**
	 * Makes one policy.
	 */
	interface Maker {

		RoutingPolicy make(CacheDirectory directory, UniformRandomProvider random);

	}

}
