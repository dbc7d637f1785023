package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.ExecuteRequest;

/**
 * Runs the work of one order on the backend server. Implementations are safe for use by
 * several threads and never send an order twice.
 */
public interface Backend {

	/**
	 * Runs an order and waits for its end.
	 * @param order the order
	 * @param sink takes the parts of the answer
	 * @param cancellation stops the call when it is cancelled
	 * @return how the order ended
	 */
	BackendOutcome run(ExecuteRequest order, BackendSink sink, Cancellation cancellation);

}
