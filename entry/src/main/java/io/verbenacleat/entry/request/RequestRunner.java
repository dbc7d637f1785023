package io.verbenacleat.entry.request;

/**
 * Runs requests of callers: reserves tokens, claims the idempotency keys of requests that
 * may not be repeated, sends orders to agents, and settles the receipts. Implementations
 * are safe for use by several threads.
 */
public interface RequestRunner {

	/**
	 * Starts a request.
	 * @param request the request
	 * @param listener receives the response
	 * @return the handle of the request
	 */
	RunningRequest run(CallerRequest request, ResponseListener listener);

	/**
	 * A request in progress. Safe for use by several threads.
	 */
	interface RunningRequest {

		/**
		 * Notifies the runner that the caller has disconnected. A repeatable order is
		 * cancelled; any other order continues to run. The listener is not called any
		 * more.
		 */
		void callerGone();

	}

}
