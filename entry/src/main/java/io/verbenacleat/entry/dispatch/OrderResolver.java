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
 * Finds the fate of orders by asking their agents again and again, until the fate is
 * final or the agent is known to be lost. Safe for use by several threads; its futures
 * complete on the control thread.
 */
public final class OrderResolver {

	/** How long a caller waits for the fate of its order. */
	public static final Duration EARLY_STATUS_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * About 1 KB each; beyond it the reservation of an order stays with the holder, and
	 * the agent still reports the receipt.
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
	 * @param lostAgents knows the lost agents
	 * @param metrics takes the number of orders being resolved
	 */
	public OrderResolver(Channels channels, ControlThread control, LostAgents lostAgents, RunMetrics metrics) {
		this.channels = channels;
		this.control = control;
		this.lostAgents = lostAgents;
		this.metrics = metrics;
	}

	/**
	 * Asks for the fate of an order until it is final, in the background after the first
	 * second.
	 * @param agent the agent of the order
	 * @param orderId the order
	 * @param cancel whether the agent cancels the order when it runs and is repeatable
	 * @return what is known at once, and in the end
	 */
	public Resolution resolve(Member agent, OrderId orderId, boolean cancel) {
		return start(agent, orderId, cancel, true);
	}

	/**
	 * Asks for the fate of an order for a second at most. An order that has not started
	 * never will.
	 * @param agent the agent of the order
	 * @param orderId the order
	 * @return the fate, {@link OrderStatus.Unknown} without an answer; never fails
	 */
	public CompletableFuture<OrderStatus> query(Member agent, OrderId orderId) {
		return start(agent, orderId, false, false).earlyStatus();
	}

	private Resolution start(Member agent, OrderId orderId, boolean cancel, boolean background) {
		ResolveOrderRequest request = ResolveOrderRequest.newBuilder().setOrderId(orderId).setCancel(cancel).build();
		ResolveLoop loop = new ResolveLoop(this, agent, request, background);
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

	boolean enterBackground() {
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
	 * What is known of an order. Immutable.
	 *
	 * @param earlyStatus completes within a second, with the first answer of the agent or
	 * {@link OrderStatus.Unknown}
	 * @param finalStatus completes with a final fate, or with {@link OrderStatus.Unknown} when too
	 * many orders are being resolved
	 */
	public record Resolution(CompletableFuture<OrderStatus> earlyStatus, CompletableFuture<OrderStatus> finalStatus) {
	}

}
