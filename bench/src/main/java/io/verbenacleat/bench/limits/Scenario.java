package io.verbenacleat.bench.limits;

/**
 * The load of a run. Immutable.
 *
 * @param name the name
 * @param load the offered work relative to the capacity of the servers
 * @param workspaces the number of workspaces; the first has ten times the load of each
 * other one
 * @param urgentLarge whether the requests of the first workspace have a more urgent
 * priority than the others
 * @param burst the requests of the first workspace that come at once in the middle
 */
record Scenario(String name, double load, int workspaces, boolean urgentLarge, int burst) {

	static final int LARGE_FACTOR = 10;

}
