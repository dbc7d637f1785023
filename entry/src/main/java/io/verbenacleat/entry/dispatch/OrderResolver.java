package io.verbenacleat.entry.dispatch;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.entry.budget.LostAgents;
import io.verbenacleat.proto.v1.OrderId;
import io.verbenacleat.proto.v1.ResolveOrderRequest;

/**
 * Determines the status of orders whose stream ended early. Queries the agent of an
 * order, with retries and exponential backoff, until the status is final or the agent is
 * known to be lost. Safe for use by several threads; the futures complete on the control
 * thread.
 */
public final class OrderResolver {

	/** The time for which a caller waits for the status of its order. */
	public static final Duration EARLY_STATUS_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * The maximum number of orders resolved in the background, about 1 KB of memory each.
	 * For an order above the limit the reservation stays with the holder, and the agent
	 * still reports the receipt.
	 */
	static final int MAX_IN_BACKGROUND = 4096;

	private final Channels channels;

	private final ControlThread control;

	private final LostAgents lostAgents;

	private final RunMetrics metrics;

	private final AtomicInteger inBackground = new AtomicInteger();

	/**
	 * Creates a resolver.
	 * @param channels the channels to the agents
	 * @param control the control thread, for timers
	 * @param lostAgents reports which agents are lost
	 * @param metrics counts the orders being resolved
	 */
	public OrderResolver(Channels channels, ControlThread control, LostAgents lostAgents, RunMetrics metrics) {
		this.channels = channels;
		this.control = control;
		this.lostAgents = lostAgents;
		this.metrics = metrics;
	}

	/**
	 * Queries the status of an order until it is final, in the background after the first
	 * second.
	 * @param agent the agent of the order
	 * @param orderId the order
	 * @param cancel whether the agent cancels the order if it is running and repeatable
	 * @return the early and the final status
	 */
	public Resolution resolve(Member agent, OrderId orderId, boolean cancel) {
		return start(agent, orderId, cancel, true);
	}

	/**
	 * Queries the status of an order for a second at most. An agent that has not started
	 * the order rejects it from then on.
	 * @param agent the agent of the order
	 * @param orderId the order
	 * @return the status, {@link OrderStatus.Unknown} if the agent does not respond;
	 * never completes exceptionally
	 */
	public CompletableFuture<OrderStatus> query(Member agent, OrderId orderId) {
		return start(agent, orderId, false, false).earlyStatus();
	}

	private Resolution start(Member agent, OrderId orderId, boolean cancel, boolean continueInBackground) {
		ResolveOrderRequest request = ResolveOrderRequest.newBuilder().setOrderId(orderId).setCancel(cancel).build();
		ResolveLoop loop = new ResolveLoop(this, agent, request, continueInBackground);
		this.control.execute(loop::start);
		return loop.resolution();
	}

	Channels channels() {
		return this.channels;
	}

	ControlThread control() {
		return this.control;
	}

	boolean isLost(Member agent) {
		return this.lostAgents.isLost(agent);
	}

	boolean tryEnterBackground() {
		if (this.inBackground.incrementAndGet() > MAX_IN_BACKGROUND) {
			this.inBackground.decrementAndGet();
			return false;
		}
		this.metrics.resolvingStarted();
		return true;
	}

	void leaveBackground() {
		this.inBackground.decrementAndGet();
		this.metrics.resolvingEnded();
	}

	/**
	 * The status of an order at two points in time. Immutable.
	 *
	 * @param earlyStatus completes within a second, with the first status that the agent
	 * reports or with {@link OrderStatus.Unknown}
	 * @param finalStatus completes with a final status, or with
	 * {@link OrderStatus.Unknown} if too many orders are being resolved
	 */
	public record Resolution(CompletableFuture<OrderStatus> earlyStatus, CompletableFuture<OrderStatus> finalStatus) {
	}

}
