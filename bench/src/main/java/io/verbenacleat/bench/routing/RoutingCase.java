package io.verbenacleat.bench.routing;

/**
 * The conditions of one run of the experiment. Immutable.
 *
 * @param name the name in the results
 * @param load the load relative to the capacity of all servers
 * @param slowServer whether server 0 has a third of the speed of the others
 * @param lostServer whether server 1 crashes during the measurement
 */
record RoutingCase(String name, double load, boolean slowServer, boolean lostServer) {
}
