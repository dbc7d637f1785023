package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.ExecuteRequest;

/**
 * What the order table asks of the rest of the agent before it starts an order. Called on
 * the control thread only.
 */
public interface AdmissionRules {

	/**
	 * Returns whether the agent drains.
	 * @return {@code true} when new orders are refused
	 */
	boolean isDraining();

	/**
	 * Returns whether a process is listed in the membership that was read since this
	 * agent registered. A process that was closed before is not listed, and this agent
	 * was not asked to refuse its orders.
	 * @param incarnation the process
	 * @return {@code true} when it is listed
	 */
	boolean isMember(String incarnation);

	/**
	 * Returns whether the backend server serves the model or service of an order.
	 * @param order the order
	 * @return {@code true} when it does
	 */
	boolean serves(ExecuteRequest order);

	/**
	 * Returns whether the receipts of all running orders and one more could be kept.
	 * @param running the number of running orders
	 * @return {@code true} when there is room
	 */
	boolean hasReceiptCapacity(int running);

}
