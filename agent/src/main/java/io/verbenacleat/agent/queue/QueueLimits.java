package io.verbenacleat.agent.queue;

import java.util.List;

import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.WorkspaceWeight;

/**
 * Limits of an {@link OrderQueue}. Immutable.
 *
 * @param maxRunning the maximum number of orders that run at a time, 1 or more
 * @param maxWaiting the maximum number of orders that wait, 0 for no queue
 * @param maxWaitMs the maximum wait of an order in milliseconds; doubled for a workspace
 * below its share
 * @param weights the weights of workspaces; workspaces without an entry have weight 1
 */
public record QueueLimits(int maxRunning, int maxWaiting, long maxWaitMs, List<WorkspaceWeight> weights) {

	/**
	 * One free slot in 12 keeps workspaces below their share from losing orders while a
	 * large workspace is above its share. With one in 16, a few orders are lost; without
	 * headroom, hundreds. Costs about 1.5% of the goodput at full load.
	 */
	private static final int HEADROOM_DIVISOR = 12;

	/**
	 * Creates limits with a copy of the list.
	 */
	public QueueLimits {
		weights = List.copyOf(weights);
	}

	/**
	 * Returns the limits of an agent. At most as many orders wait as run: a waiting order
	 * holds its request body in memory, and orders further back in a longer queue would
	 * exceed the maximum wait.
	 * @param maxRunning the maximum number of orders that run on the backend server at a
	 * time
	 * @param maxInProgress the maximum number of orders that run or wait in the agent
	 * @param limits the configured limits
	 * @return the limits
	 */
	public static QueueLimits of(int maxRunning, int maxInProgress, LimitsConfig limits) {
		int running = Math.min(maxRunning, maxInProgress);
		int waiting = (limits.maxQueueWaitMs() > 0) ? Math.min(running, maxInProgress - running) : 0;
		return new QueueLimits(running, waiting, limits.maxQueueWaitMs(), limits.workspaceWeights());
	}

	/**
	 * Returns limits without a queue.
	 * @param maxRunning the maximum number of orders that run at a time
	 * @return the limits
	 */
	public static QueueLimits withoutQueue(int maxRunning) {
		return new QueueLimits(maxRunning, 0, 0, List.of());
	}

	/**
	 * Returns the number of slots that a workspace above its share leaves free for the
	 * others.
	 * @return the number of slots, 0 without a queue
	 */
	int headroom() {
		return (this.maxWaiting > 0) ? this.maxRunning / HEADROOM_DIVISOR : 0;
	}

	int weightOf(String workspace) {
		return WorkspaceWeight.weightOf(this.weights, workspace);
	}

}
