package io.verbenacleat.agent.queue;

import java.util.TreeSet;

/**
 * The orders of one workspace. Control thread only.
 *
 * @param <T> the type of the orders
 */
final class WorkspaceQueue<T> {

	final TreeSet<QueueTicket<T>> waiting = new TreeSet<>(QueueTicket.byUrgency());

	/** The rate at which orders of this workspace start while some wait. */
	final ThroughputEstimator startRate = new ThroughputEstimator();

	int weight;

	int running;

	/** The number of the start that was last, for turns between equal workspaces. */
	long lastStartNumber;

	WorkspaceQueue(int weight) {
		this.weight = weight;
	}

	/**
	 * Returns the service that the workspace receives relative to its weight. All running
	 * orders of a batching server advance at the same rate, so their number is the rate
	 * of tokens.
	 * @param additionalOrders orders to count besides the running ones
	 * @return the level
	 */
	double normalizedLoad(int additionalOrders) {
		return (double) (this.running + additionalOrders) / this.weight;
	}

	/**
	 * Counts the orders that start below a given level.
	 * @param loadLimit the level
	 * @return the number
	 */
	int countStartingBelow(double loadLimit) {
		int count = 0;
		while (count < this.waiting.size() && normalizedLoad(count) < loadLimit) {
			count++;
		}
		return count;
	}

}
