package io.verbenacleat.bench.limits;

/**
 * The load of a run. Immutable.
 *
 * @param name the name in the results
 * @param load the offered load relative to the capacity of the servers
 * @param workspaces the number of workspaces; the first has ten times the load of any
 * other
 * @param largeIsUrgent whether the requests of the first workspace have a more urgent
 * priority than the others
 * @param burst the number of requests of the first workspace that arrive at once in the
 * middle of the run
 */
record Scenario(String name, double load, int workspaces, boolean largeIsUrgent, int burst) {

	static final int LARGE_FACTOR = 10;

}
