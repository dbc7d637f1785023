package io.verbenacleat.entry.routing;

/**
 * A backend server that may take a request. Immutable.
 *
 * @param server the name of the backend server, which outlives the runs of its agent as
 * the cache of its engine does
 * @param load the orders in progress there, as far as this entry knows
 */
public record RoutingCandidate(String server, int load) {
}
