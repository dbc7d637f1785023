package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.ExecuteRequest;

/**
 * Client of a backend server. Implementations are safe for use by several threads and
 * send an order at most once.
 */
public interface Backend {

	/**
	 * Runs an order and blocks until it ends.
	 * @param order the order
	 * @param sink receives the parts of the response
	 * @param cancellation cancels the call to the backend server
	 * @return the outcome
	 */
	BackendOutcome run(ExecuteRequest order, BackendSink sink, Cancellation cancellation);

}
