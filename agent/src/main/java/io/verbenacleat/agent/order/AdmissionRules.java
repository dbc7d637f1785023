package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.ExecuteRequest;

/**
 * Admission conditions that depend on the state of the agent outside the
 * {@link OrderTable}. Called on the control thread only.
 */
public interface AdmissionRules {

	/**
	 * Returns whether the agent is draining.
	 * @return {@code true} when new orders are refused
	 */
	boolean isDraining();

	/**
	 * Returns whether a process is in the membership as read after this agent registered.
	 * A process that was closed before the registration is not in it; this agent received
	 * no close request for such a process, so this check refuses its orders.
	 * @param incarnation the incarnation of the process
	 * @return {@code true} when it is a member
	 */
	boolean isMember(String incarnation);

	/**
	 * Returns whether the backend server serves the model or service that an order names.
	 * @param order the order
	 * @return {@code true} when it serves the target
	 */
	boolean serves(ExecuteRequest order);

	/**
	 * Returns whether the receipts of all active orders and of one more order fit in
	 * memory.
	 * @param activeOrders the number of orders that run or wait
	 * @return {@code true} when one more order may be accepted
	 */
	boolean hasReceiptCapacity(int activeOrders);

}
