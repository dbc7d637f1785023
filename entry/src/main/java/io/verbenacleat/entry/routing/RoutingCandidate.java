package io.verbenacleat.entry.routing;

/**
 * A backend server that can receive a request. Immutable.
 *
 * @param server the name of the backend server; it stays the same when the agent is
 * restarted, as does the cache of the engine
 * @param load the number of orders in progress at the server, as estimated by this entry,
 * zero or more
 */
public record RoutingCandidate(String server, int load) {
}
