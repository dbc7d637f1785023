package io.verbenacleat.entry.request;

/**
 * Takes the news of an order that it cannot act on itself. Called in the serial context
 * of the request.
 */
interface NotRunHandler {

	/**
	 * The order was not run and never will be.
	 * @param order the order
	 * @param reason why
	 */
	void onNotRun(OrderExecution order, NotRunReason reason);

}
