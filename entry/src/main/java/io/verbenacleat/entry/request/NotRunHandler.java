package io.verbenacleat.entry.request;

/**
 * Decides how a request continues when its order was not run, such as with a retry at
 * another agent. Called in the synchronization context of the request.
 */
interface NotRunHandler {

	/**
	 * Called when an order was not run and never will be.
	 * @param order the order
	 * @param reason the reason
	 */
	void onNotRun(OrderExecution order, NotRunReason reason);

}
