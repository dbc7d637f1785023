package io.verbenacleat.agent.order;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.Accepted;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.HttpHead;
import org.jspecify.annotations.Nullable;

/**
 * One run of an order: forwards the response of the backend server to the gateway and
 * retains it when the call is not repeatable. Used by one worker thread.
 */
final class OrderExecution implements BackendSink {

	private final ActiveOrder order;

	private final EventStream stream;

	private final @Nullable ResponseBuffer responseBuffer;

	private boolean accepted;

	OrderExecution(ActiveOrder order, EventStream stream) {
		this.order = order;
		this.stream = stream;
		this.responseBuffer = (order.request().hasHttp() && !order.request().getRepeatable()) ? new ResponseBuffer()
				: null;
	}

	/**
	 * Runs the order and blocks until it ends.
	 * @param backend the client of the backend server
	 * @return the outcome
	 */
	BackendOutcome run(Backend backend) {
		BackendOutcome outcome;
		try {
			outcome = backend.run(this.order.request(), this, this.order.cancellation());
		}
		catch (RuntimeException ex) {
			outcome = BackendOutcome.failed("agent_error", "the agent failed: " + ex)
				.withBill(0, this.order.request().getReservedTokens());
		}
		if (outcome.refusal() == null) {
			started();
		}
		return outcome;
	}

	/**
	 * Returns the complete response of a not-repeatable call.
	 * @return the response, or {@code null} when it was not retained
	 */
	@Nullable
	RetainedResponse retainedResponse() {
		return (this.responseBuffer != null) ? this.responseBuffer.response() : null;
	}

	@Override
	public void started() {
		if (!this.accepted) {
			this.accepted = true;
			this.stream.send(ExecuteEvent.newBuilder().setAccepted(Accepted.getDefaultInstance()));
		}
	}

	@Override
	public void chatChunk(ByteString json) {
		this.stream.awaitReady();
		this.stream.send(ExecuteEvent.newBuilder().setChatChunk(json));
	}

	@Override
	public void httpHead(HttpHead head) {
		if (this.responseBuffer != null) {
			this.responseBuffer.head(head);
		}
		this.stream.awaitReady();
		this.stream.send(ExecuteEvent.newBuilder().setHttpHead(head));
	}

	@Override
	public void httpBody(ByteString bytes) {
		if (this.responseBuffer != null) {
			this.responseBuffer.body(bytes);
		}
		this.stream.awaitReady();
		this.stream.send(ExecuteEvent.newBuilder().setHttpBody(bytes));
	}

}
