package io.verbenacleat.core.config;

/**
 * How backend servers are selected for requests. Immutable.
 *
 * @param policy the routing policy
 * @param prefixBlocks the length of the prompt prefix that determines the backend server,
 * in blocks of 512 bytes, 1 or more
 * @param loadFactor the maximum load of a backend server relative to the mean, 1 or more;
 * above it a prefix is routed to the next server
 */
public record RoutingConfig(Policy policy, int prefixBlocks, double loadFactor) {

	/**
	 * The settings of an office that sets none. The measurements behind the values are in
	 * docs/results/routing.md.
	 */
	public static final RoutingConfig DEFAULT = new RoutingConfig(Policy.PREFIX_AFFINITY, 4, 1.1);

	/**
	 * The policy by which a backend server is selected.
	 */
	public enum Policy {

		/** Selects the backend server with the fewest orders in progress. */
		LEAST_LOADED,

		/**
		 * Selects the backend server assigned to the prefix of the prompt, as long as its
		 * load is within the bound.
		 */
		PREFIX_AFFINITY

	}

}
