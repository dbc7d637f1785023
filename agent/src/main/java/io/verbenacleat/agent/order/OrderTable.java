package io.verbenacleat.agent.order;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.verbenacleat.agent.queue.OrderQueue;
import io.verbenacleat.agent.queue.QueueDecision;
import io.verbenacleat.agent.queue.QueueTicket;
import io.verbenacleat.agent.queue.SchedulingAttributes;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.OrderId;
import io.verbenacleat.proto.v1.OrderState;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import org.jspecify.annotations.Nullable;

/**
 * Decides which orders start and remembers those that must not: an order starts at most
 * once, and never after a refusal, a tombstone, or the close of its gateway or holder.
 * Control thread only.
 * <p>
 * Memory is bounded by {@link OrderLimits}. When the slots or kept responses are used up,
 * the marks of closed gateways, and of those without an order for an hour, are raised
 * over their orders, whose outcomes are forgotten and which still never start. When that
 * frees nothing, new orders are refused and tombstones are kept as a floor per gateway,
 * which refuses all older orders of that gateway that have not started. When more
 * processes were seen than can be kept, the table starts no order any more until the
 * agent is restarted; no tombstone and no close is forgotten.
 */
public final class OrderTable {

	private final String incarnation;

	private final Clock clock;

	private final OrderLimits limits;

	private final OrderMemory memory;

	private final AdmissionRules rules;

	private final OrderQueue<ActiveOrder> queue;

	private final Set<ActiveOrder> running = new HashSet<>();

	/**
	 * Creates an empty table.
	 * @param incarnation the incarnation of this agent
	 * @param clock the clock for start times
	 * @param limits the bounds
	 * @param rules the conditions outside the table
	 * @param queue decides which accepted orders run and which wait
	 */
	public OrderTable(String incarnation, Clock clock, OrderLimits limits, AdmissionRules rules,
			OrderQueue<ActiveOrder> queue) {
		this.incarnation = incarnation;
		this.clock = clock;
		this.limits = limits;
		this.memory = new OrderMemory(clock, limits);
		this.rules = rules;
		this.queue = queue;
	}

	/**
	 * Starts, queues or refuses an order; a refused order never starts later.
	 * @param request the order
	 * @param receivedAtMs when it arrived, in milliseconds since the epoch
	 * @return the answer
	 */
	Admission admit(ExecuteRequest request, long receivedAtMs) {
		OrderId id = request.getOrderId();
		Admission.Denied denied = checkIdentity(request);
		if (denied != null) {
			return denied;
		}
		GatewayOrders gateway = this.memory.gateway(id.getGatewayIncarnation());
		if (gateway == null) {
			return denied(RefusalReason.OVERLOADED, "this agent has seen too many processes and must be restarted");
		}
		gateway.use(this.clock.millis());
		this.memory.raiseMark(gateway, request.getResolvedThrough());
		denied = checkHistory(gateway, id.getSequence());
		if (denied != null) {
			return denied;
		}
		this.memory.reclaim(request);
		denied = checkState(request, receivedAtMs);
		if (denied != null) {
			this.memory.bury(gateway, id.getSequence());
			return denied;
		}
		ActiveOrder order = new ActiveOrder(request, this.clock.millis());
		SchedulingAttributes work = new SchedulingAttributes(request.getWorkspace(), request.getPriority(),
				receivedAtMs + request.getTimeoutMs());
		QueueDecision<ActiveOrder> offer = this.queue.offer(work, order);
		if (offer instanceof QueueDecision.Refuse<ActiveOrder> refuse) {
			this.memory.bury(gateway, id.getSequence());
			return denied(RefusalReason.OVERLOADED, refuse.detail());
		}
		this.memory.accept(gateway, order);
		this.running.add(order);
		return enter(offer, order);
	}

	/**
	 * Starts the next order that waits.
	 * @return the order, or {@code null} when none waits or no more may run
	 */
	@Nullable
	ActiveOrder startNext() {
		QueueTicket<ActiveOrder> next = this.queue.startNext();
		if (next == null) {
			return null;
		}
		next.item().startedAt(this.clock.millis());
		return next.item();
	}

	/**
	 * Takes an order that has not started out of the queue, so that it never starts.
	 * @param order the order; nothing happens when it does not wait
	 * @param reason the reason
	 * @param detail the reason in words
	 */
	void withdraw(ActiveOrder order, RefusalReason reason, String detail) {
		QueueTicket<ActiveOrder> ticket = order.ticket();
		if (ticket != null && this.queue.withdraw(ticket)) {
			left(order, reason, detail);
		}
	}

	/**
	 * Ends an order of which nothing was sent to the backend server.
	 * @param order the order
	 */
	void notRun(ActiveOrder order) {
		release(order);
		end(order, OrderSlot.TOMBSTONE);
	}

	/**
	 * Ends an order.
	 * @param order the order
	 * @param receipt its bill
	 * @param response the response of a not-repeatable call, {@code null} when not kept
	 */
	void finish(ActiveOrder order, Receipt receipt, @Nullable KeptResponse response) {
		release(order);
		end(order, new OrderSlot.Finished(receipt, response));
	}

	/**
	 * Reports an order, or makes sure that it never starts.
	 * @param id an order to this agent incarnation; this agent cannot know the fate of an
	 * order to another one
	 * @param cancel whether to stop it when it runs and is repeatable, or waits
	 * @return the report
	 */
	ResolveOrderResponse resolve(OrderId id, boolean cancel) {
		GatewayOrders gateway = this.memory.gateway(id.getGatewayIncarnation());
		if (gateway == null) {
			return report(OrderState.NEVER_STARTED);
		}
		OrderSlot slot = gateway.get(id.getSequence());
		if (slot == null && id.getSequence() <= gateway.mark()) {
			return report(OrderState.FORGOTTEN);
		}
		if (slot instanceof OrderSlot.Running active) {
			if (cancel && active.order().queued()) {
				withdraw(active.order(), RefusalReason.TOMBSTONED, "the gateway cancelled the order");
				return report(OrderState.NEVER_STARTED);
			}
			if (cancel) {
				active.order().cancelIfRepeatable();
			}
			return report(OrderState.RUNNING);
		}
		if (slot instanceof OrderSlot.Finished finished) {
			return finished.report();
		}
		if (slot == null) {
			this.memory.bury(gateway, id.getSequence());
		}
		return report(OrderState.NEVER_STARTED);
	}

	/**
	 * Refuses from now on the orders of a gateway and those on the grants of a holder,
	 * stops the running repeatable orders of the gateway, and withdraws the queued orders
	 * of both kinds.
	 * @param process the incarnation of the gateway and holder
	 */
	void close(String process) {
		this.memory.close(process);
		for (ActiveOrder order : List.copyOf(this.running)) {
			boolean ofGateway = order.request().getOrderId().getGatewayIncarnation().equals(process);
			if (order.queued() && order.concerns(process)) {
				withdraw(order, (ofGateway) ? RefusalReason.GATEWAY_CLOSED : RefusalReason.HOLDER_CLOSED,
						process + " was closed");
			}
			else if (ofGateway) {
				order.cancelIfRepeatable();
			}
		}
	}

	/**
	 * Returns the orders of a gateway or on the grants of a holder that run or wait.
	 * @param process the incarnation
	 * @return the orders
	 */
	List<ActiveOrder> runningOf(String process) {
		List<ActiveOrder> found = new ArrayList<>();
		this.running.stream().filter((order) -> order.concerns(process)).forEach(found::add);
		return found;
	}

	/**
	 * Returns whether an order was sent to this agent incarnation.
	 * @param id the order
	 * @return {@code false} when it was sent to another one
	 */
	boolean isMine(OrderId id) {
		return id.getAgentIncarnation().equals(this.incarnation);
	}

	/**
	 * Returns how many orders run or wait.
	 * @return the count
	 */
	public int inProgress() {
		return this.running.size();
	}

	/**
	 * Returns how many orders wait.
	 * @return the count
	 */
	int waiting() {
		return this.queue.waiting();
	}

	/**
	 * Returns when a queued order must have left the queue.
	 * @param order the order
	 * @return the time in milliseconds since the epoch
	 */
	long leaveByMs(ActiveOrder order) {
		QueueTicket<ActiveOrder> ticket = order.ticket();
		return (ticket != null) ? ticket.deadlineMs() : Long.MAX_VALUE;
	}

	/**
	 * Notes a refusal for overload and returns when the order may come back.
	 * @return the time in milliseconds
	 */
	long turnAway() {
		return this.queue.nextRetryAfterMs();
	}

	/**
	 * Returns whether the agent drains.
	 * @return {@code true} when new orders are refused
	 */
	boolean draining() {
		return this.rules.isDraining();
	}

	/**
	 * Returns whether the table starts no order any more because it has seen too many
	 * processes.
	 * @return {@code true} when the agent must be restarted
	 */
	public boolean exhausted() {
		return this.memory.exhausted();
	}

	private Admission enter(QueueDecision<ActiveOrder> offer, ActiveOrder order) {
		if (offer instanceof QueueDecision.Wait<ActiveOrder> wait) {
			order.setTicket(wait.ticket());
			QueueTicket<ActiveOrder> shed = wait.shed();
			if (shed != null) {
				left(shed.item(), RefusalReason.OVERLOADED, "a more urgent order took its place in the queue");
			}
			return new Admission.Queued(order);
		}
		if (offer instanceof QueueDecision.Start<ActiveOrder> start) {
			order.setTicket(start.ticket());
		}
		return new Admission.Started(order);
	}

	private void left(ActiveOrder order, RefusalReason reason, String detail) {
		end(order, OrderSlot.TOMBSTONE);
		ActiveOrder.Waiter waiter = order.waiter();
		if (waiter != null) {
			waiter.withdrawn(reason, detail);
		}
	}

	private void release(ActiveOrder order) {
		QueueTicket<ActiveOrder> ticket = order.ticket();
		if (ticket != null) {
			this.queue.complete(ticket);
		}
	}

	private Admission.@Nullable Denied checkIdentity(ExecuteRequest request) {
		OrderId id = request.getOrderId();
		if (!id.getAgentIncarnation().equals(this.incarnation)) {
			return denied(RefusalReason.WRONG_INCARNATION, "this agent is " + this.incarnation);
		}
		if (this.memory.isClosed(id.getGatewayIncarnation())) {
			return denied(RefusalReason.GATEWAY_CLOSED, "gateway " + id.getGatewayIncarnation() + " was closed");
		}
		String fault = OrderForm.faultOf(request);
		return (fault != null) ? denied(RefusalReason.INVALID_ORDER, fault) : null;
	}

	private Admission.@Nullable Denied checkHistory(GatewayOrders gateway, long sequence) {
		OrderSlot slot = gateway.get(sequence);
		if (slot instanceof OrderSlot.Running || slot instanceof OrderSlot.Finished) {
			return denied(RefusalReason.DUPLICATE_ORDER, "order " + sequence + " was started before");
		}
		if (slot != null || sequence <= gateway.mark()) {
			return denied(RefusalReason.TOMBSTONED, "order " + sequence + " must not start any more");
		}
		return null;
	}

	private Admission.@Nullable Denied checkState(ExecuteRequest request, long receivedAtMs) {
		if (this.memory.isClosed(request.getHolderIncarnation())) {
			return denied(RefusalReason.HOLDER_CLOSED, "holder " + request.getHolderIncarnation() + " was closed");
		}
		if (!this.rules.isMember(request.getHolderIncarnation())
				|| !this.rules.isMember(request.getOrderId().getGatewayIncarnation())) {
			return denied(RefusalReason.NOT_A_MEMBER, "the gateway or the holder is not a known member");
		}
		if (this.rules.isDraining()) {
			return denied(RefusalReason.DRAINING, "this agent drains");
		}
		if (!this.rules.serves(request)) {
			return denied(RefusalReason.MODEL_NOT_SERVED, "this backend server does not serve the target");
		}
		if (this.clock.millis() - receivedAtMs >= request.getTimeoutMs()) {
			return denied(RefusalReason.OVERLOADED, "the timeout passed before the order could start");
		}
		if (this.memory.exhausted() || this.running.size() >= this.limits.maxInProgress()
				|| !this.rules.hasReceiptCapacity(this.running.size()) || this.memory.full(request)) {
			return denied(RefusalReason.OVERLOADED, "too many orders or receipts wait");
		}
		return null;
	}

	private void end(ActiveOrder order, OrderSlot slot) {
		if (this.running.remove(order)) {
			this.memory.end(order, slot);
		}
	}

	private static Admission.Denied denied(RefusalReason reason, String detail) {
		return new Admission.Denied(reason, detail);
	}

	private static ResolveOrderResponse report(OrderState state) {
		return ResolveOrderResponse.newBuilder().setState(state).build();
	}

}
