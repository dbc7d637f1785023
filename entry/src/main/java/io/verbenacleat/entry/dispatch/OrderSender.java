package io.verbenacleat.entry.dispatch;

import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;
import io.grpc.stub.ClientCalls;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.proto.v1.AgentServiceGrpc;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.ExecuteRequest;

/**
 * Sends orders to agents. Safe for use by several threads.
 * <p>
 * The response stream is read one message at a time, each on request of the receiver. A
 * slow caller therefore buffers at most one message and the HTTP/2 window of its stream.
 */
public final class OrderSender {

	private final Channels channels;

	/**
	 * Creates a sender.
	 * @param channels the channels to the agents
	 */
	public OrderSender(Channels channels) {
		this.channels = channels;
	}

	/**
	 * Sends an order.
	 * @param agent the agent
	 * @param request the order
	 * @param listener receives the events, on gRPC threads
	 * @return the handle of the order
	 */
	public SentOrder send(Member agent, ExecuteRequest request, OrderListener listener) {
		SentTracer tracer = new SentTracer();
		CallOptions options = CallOptions.DEFAULT.withStreamTracerFactory(tracer);
		ClientCall<ExecuteRequest, ExecuteEvent> call = this.channels.get(agent.address())
			.newCall(AgentServiceGrpc.getExecuteMethod(), options);
		OrderStream stream = new OrderStream(request, listener, () -> !tracer.sent);
		ClientCalls.asyncServerStreamingCall(call, request, stream);
		return stream;
	}

	/**
	 * An order that was sent. Safe for use by several threads.
	 */
	public interface SentOrder {

		/**
		 * Requests the next event.
		 */
		void requestMore();

		/**
		 * Cancels the stream. The agent then cancels the order if it is repeatable.
		 */
		void cancel();

	}

	/**
	 * Records whether the headers of a call were written to a connection. The message
	 * follows the headers on the same connection, so a call that ended before them did
	 * not reach the agent.
	 */
	private static final class SentTracer extends ClientStreamTracer.Factory {

		private volatile boolean sent;

		@Override
		public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
			return new ClientStreamTracer() {
				@Override
				public void outboundHeaders() {
					SentTracer.this.sent = true;
				}
			};
		}

	}

}
