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
 * The stream is read one message at a time: the receiver asks for each next one, so that
 * a slow caller holds no more than one message and the HTTP/2 window of its stream.
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
	 * @param listener takes the events, on threads of gRPC
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
		 * Asks for the next event.
		 */
		void requestMore();

		/**
		 * Closes the stream; the agent then cancels a repeatable order.
		 */
		void cancel();

	}

	/**
	 * Sees whether the headers of a call were written to a connection. The message
	 * follows the headers on the same connection, so a call that ended without them never
	 * reached the agent.
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
