package io.verbenacleat.agent.order;

import java.time.Clock;
import java.util.SplittableRandom;

import com.google.protobuf.ByteString;
import io.verbenacleat.agent.queue.OrderQueue;
import io.verbenacleat.agent.queue.QueueLimits;
import io.verbenacleat.proto.v1.ChatWork;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.HttpWork;
import io.verbenacleat.proto.v1.OrderId;

/**
 * Makes orders for tests. Stateless.
 */
public final class TestOrders {

	private TestOrders() {
	}

	/**
	 * Returns an order without work.
	 * @param gateway the gateway
	 * @param agent the agent
	 * @param sequence the sequence
	 * @return a repeatable order on the grants of its gateway
	 */
	public static ExecuteRequest.Builder order(String gateway, String agent, long sequence) {
		return ExecuteRequest.newBuilder()
			.setOrderId(OrderId.newBuilder()
				.setGatewayIncarnation(gateway)
				.setAgentIncarnation(agent)
				.setSequence(sequence))
			.setRequestId("req-" + gateway + "-" + sequence)
			.setAccount("pans")
			.setCallerId("caller")
			.setHolderIncarnation(gateway)
			.setHolderAddress("127.0.0.1:1")
			.setReservedTokens(1_000)
			.setRepeatable(true)
			.setTimeoutMs(60_000);
	}

	/**
	 * Returns work for a model engine.
	 * @param answerBoundTokens the answer bound
	 * @return the work, with a prompt bound of 100
	 */
	public static ChatWork chat(long answerBoundTokens) {
		return ChatWork.newBuilder()
			.setModel("small")
			.setBodyJson(ByteString.copyFromUtf8("{\"model\":\"small\",\"messages\":[],\"max_tokens\":500}"))
			.setPromptBoundTokens(100)
			.setAnswerBoundTokens(answerBoundTokens)
			.build();
	}

	/**
	 * Returns work for a plain service.
	 * @param method the method
	 * @param path the path and query
	 * @return the work, at a price of 7 tokens
	 */
	public static HttpWork.Builder http(String method, String path) {
		return HttpWork.newBuilder().setService("bookings").setMethod(method).setPathAndQuery(path).setPriceTokens(7);
	}

	/**
	 * Returns a queue of a fixed seed that no order waits in.
	 * @param clock the clock
	 * @param maxRunning the most orders that run
	 * @return the queue
	 */
	static OrderQueue<ActiveOrder> noQueue(Clock clock, int maxRunning) {
		return new OrderQueue<>(clock, QueueLimits.withoutQueue(maxRunning), new SplittableRandom(1));
	}

}
