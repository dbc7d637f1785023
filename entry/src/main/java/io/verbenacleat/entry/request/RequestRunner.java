package io.verbenacleat.entry.request;

/**
 * Runs requests: reserves tokens, claims those that may not be repeated, sends orders to
 * agents, and settles the receipts. Implementations are safe for use by several threads.
 */
public interface RequestRunner {

	/**
	 * Starts a request.
	 * @param request the request
	 * @param listener takes the answer
	 * @return a handle to give the request up
	 */
	RunningRequest run(CallerRequest request, ResponseListener listener);

	/**
	 * A request in progress. Safe for use by several threads.
	 */
	interface RunningRequest {

		/**
		 * Tells that the caller is gone: a repeatable order is cancelled, another one
		 * runs on. The listener is not called any more.
		 */
		void callerGone();

	}

}
