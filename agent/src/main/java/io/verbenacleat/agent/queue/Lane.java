package io.verbenacleat.agent.queue;

import java.util.TreeSet;

/**
 * The orders of one workspace. Control thread only.
 *
 * @param <T> the type of the orders
 */
final class Lane<T> {

	final TreeSet<QueueTicket<T>> waiting = new TreeSet<>(QueueTicket.byUrgency());

	/** Service received relative to the weight; the start tag of the next order. */
	double tag;

	int running;

	/**
	 * Raises the tag to the virtual time, so that an idle workspace saves up no service.
	 * @param virtualTime the tag of the order that started last
	 */
	void activate(double virtualTime) {
		if (this.waiting.isEmpty()) {
			this.tag = Math.max(this.tag, virtualTime);
		}
	}

	/**
	 * Counts the orders that would start before a given tag.
	 * @param limit the tag
	 * @param weight the weight of the workspace
	 * @return the number
	 */
	int startingBefore(double limit, int weight) {
		int count = 0;
		double next = this.tag;
		for (QueueTicket<T> ticket : this.waiting) {
			if (next >= limit) {
				break;
			}
			count++;
			next += ticket.cost() / weight;
		}
		return count;
	}

}
