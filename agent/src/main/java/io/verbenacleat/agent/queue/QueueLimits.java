package io.verbenacleat.agent.queue;

import java.util.List;

import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.WorkspaceWeight;

/**
 * The bounds of an order queue. Immutable.
 *
 * @param maxRunning the most orders that run at a time, 1 or more
 * @param maxWaiting the most orders that wait, 0 for no queue
 * @param maxWaitMs the longest wait of an order, in milliseconds; twice as long for a
 * workspace below its share
 * @param weights the weights of workspaces; others have the weight 1
 */
public record QueueLimits(int maxRunning, int maxWaiting, long maxWaitMs, List<WorkspaceWeight> weights) {

	/**
	 * One slot in 12 keeps workspaces below their share from losing orders while a large
	 * one is over its share. With one in 16 a few are lost; without, hundreds. It costs
	 * about 1.5% of goodput at full load.
	 */
	private static final int HEADROOM_DIVISOR = 12;

	/**
	 * Creates bounds from a copy of the list.
	 */
	public QueueLimits {
		weights = List.copyOf(weights);
	}

	/**
	 * Returns the bounds of an agent. As many orders may wait as run: a waiting order
	 * keeps its request body in memory, and a longer queue holds orders that pass the
	 * wait bound anyway.
	 * @param maxRunning the most orders that run on the backend server at a time
	 * @param maxInProgress the most orders that the agent may have running and waiting
	 * @param limits the limits of the office
	 * @return the bounds
	 */
	public static QueueLimits of(int maxRunning, int maxInProgress, LimitsConfig limits) {
		int running = Math.min(maxRunning, maxInProgress);
		int waiting = (limits.maxQueueWaitMs() > 0) ? Math.min(running, maxInProgress - running) : 0;
		return new QueueLimits(running, waiting, limits.maxQueueWaitMs(), limits.workspaceWeights());
	}

	/**
	 * Returns bounds without a queue.
	 * @param maxRunning the most orders that run at a time
	 * @return the bounds
	 */
	public static QueueLimits withoutQueue(int maxRunning) {
		return new QueueLimits(maxRunning, 0, 0, List.of());
	}

	/**
	 * Returns how many slots a workspace over its share leaves free for the others.
	 * @return the number, 0 without a queue
	 */
	int headroom() {
		return (this.maxWaiting > 0) ? this.maxRunning / HEADROOM_DIVISOR : 0;
	}

	int weightOf(String workspace) {
		return WorkspaceWeight.weightOf(this.weights, workspace);
	}

}
