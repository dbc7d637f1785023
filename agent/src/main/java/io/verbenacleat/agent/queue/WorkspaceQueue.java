package io.verbenacleat.agent.queue;

import java.util.TreeSet;

/**
 * Queue and running count of one workspace. Control thread only.
 *
 * @param <T> the type of the orders
 */
final class WorkspaceQueue<T> {

	final TreeSet<QueueTicket<T>> waiting = new TreeSet<>(QueueTicket.byUrgency());

	/** Estimates the interval between starts in this workspace while orders wait. */
	final ThroughputEstimator startRate = new ThroughputEstimator();

	int weight;

	int running;

	/**
	 * The number of the latest start, which breaks ties between workspaces of equal load.
	 */
	long lastStartNumber;

	WorkspaceQueue(int weight) {
		this.weight = weight;
	}

	/**
	 * Returns the number of running orders relative to the weight of the workspace. A
	 * batching server advances all running orders at the same rate, so their number is
	 * proportional to the token rate of the workspace.
	 * @param additionalOrders the number of orders to count in addition to the running
	 * ones
	 * @return the load
	 */
	double normalizedLoad(int additionalOrders) {
		return (double) (this.running + additionalOrders) / this.weight;
	}

	/**
	 * Returns how many waiting orders can start before the load reaches a limit.
	 * @param loadLimit the limit
	 * @return the number of orders
	 */
	int countStartingBelow(double loadLimit) {
		int count = 0;
		while (count < this.waiting.size() && normalizedLoad(count) < loadLimit) {
			count++;
		}
		return count;
	}

}
