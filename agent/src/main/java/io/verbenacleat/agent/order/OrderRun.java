package io.verbenacleat.agent.order;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.Accepted;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.HttpHead;
import org.jspecify.annotations.Nullable;

/**
 * Passes the answer of the backend server to the gateway and keeps that of a
 * not-repeatable call. Used by one worker thread.
 */
final class OrderRun implements BackendSink {

	private final ActiveOrder order;

	private final EventStream stream;

	private final @Nullable ResponseKeeper keeper;

	private boolean accepted;

	OrderRun(ActiveOrder order, EventStream stream) {
		this.order = order;
		this.stream = stream;
		this.keeper = (order.request().hasHttp() && !order.request().getRepeatable()) ? new ResponseKeeper() : null;
	}

	/**
	 * Runs the order to its end.
	 * @param backend the backend server
	 * @return how it ended
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
	 * Returns the whole response of a not-repeatable call.
	 * @return the response, or {@code null} when it is not kept
	 */
	@Nullable
	KeptResponse kept() {
		return (this.keeper != null) ? this.keeper.kept() : null;
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
		if (this.keeper != null) {
			this.keeper.head(head);
		}
		this.stream.awaitReady();
		this.stream.send(ExecuteEvent.newBuilder().setHttpHead(head));
	}

	@Override
	public void httpBody(ByteString bytes) {
		if (this.keeper != null) {
			this.keeper.body(bytes);
		}
		this.stream.awaitReady();
		this.stream.send(ExecuteEvent.newBuilder().setHttpBody(bytes));
	}

}
