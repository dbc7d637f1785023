package io.verbenacleat.core.config;

/**
 * How backend servers are selected for requests. Immutable.
 *
 * @param policy the rule of selection
 * @param prefixBlocks how many blocks of the start of a prompt decide the server, 1 or
 * more; a block has 512 bytes
 * @param loadFactor how much load a server may have relative to the mean before a prefix
 * goes to the next one, 1 or more
 */
public record RoutingConfig(Policy policy, int prefixBlocks, double loadFactor) {

	/**
	 * The settings of an office that gives none; docs/results/routing.md has the figures.
	 */
	public static final RoutingConfig DEFAULT = new RoutingConfig(Policy.PREFIX_AFFINITY, 4, 1.1);

	/**
	 * The rule by which a server is selected.
	 */
	public enum Policy {

		/** The server with the fewest orders in progress. */
		LEAST_LOADED,

		/** The server of the prompt's prefix while its load is within the bound. */
		PREFIX_AFFINITY

	}

}
