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
 * Factory for test orders. Stateless.
 */
public final class TestOrders {

	private TestOrders() {
	}

	/**
	 * Returns an order without work.
	 * @param gateway the incarnation of the gateway
	 * @param agent the incarnation of the agent
	 * @param sequence the sequence number
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
	 * @param answerBoundTokens the maximum number of answer tokens
	 * @return the work, with a prompt bound of 100 tokens
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
	 * Returns work for a service.
	 * @param method the method
	 * @param path the path and query
	 * @return the work, at a price of 7 tokens
	 */
	public static HttpWork.Builder http(String method, String path) {
		return HttpWork.newBuilder().setService("bookings").setMethod(method).setPathAndQuery(path).setPriceTokens(7);
	}

	/**
	 * Returns a queue without places to wait and with a fixed seed.
	 * @param clock the clock
	 * @param maxRunning the maximum number of running orders
	 * @return the queue
	 */
	static OrderQueue<ActiveOrder> noQueue(Clock clock, int maxRunning) {
		return new OrderQueue<>(clock, QueueLimits.withoutQueue(maxRunning), new SplittableRandom(1));
	}

}
