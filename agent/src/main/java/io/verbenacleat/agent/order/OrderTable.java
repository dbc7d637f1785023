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
 * Admits orders and records their outcomes. An order starts at most once, and never after
 * it was refused or tombstoned or its gateway or holder was closed. Control thread only.
 * <p>
 * {@link OrderLimits} bounds the memory. When the slots, the retained responses or the
 * requests reach their limit, the table discards the outcomes of closed gateways and of
 * those that sent no order for an hour, by raising their low watermarks; an order up to a
 * low watermark never starts. If that frees no memory, new orders are refused. While
 * there is no free slot, a tombstone also applies to all older orders of the same gateway
 * that have not started. When more processes were seen than the limit allows, the table
 * starts no further order until the agent is restarted, because it must not discard a
 * tombstone or the close of a process.
 */
public final class OrderTable {

	private final String incarnation;

	private final Clock clock;

	private final OrderLimits limits;

	private final OrderHistory history;

	private final AdmissionRules rules;

	private final OrderQueue<ActiveOrder> queue;

	private final Set<ActiveOrder> active = new HashSet<>();

	/**
	 * Creates an empty table.
	 * @param incarnation the incarnation of this agent
	 * @param clock the clock for start times and timeouts
	 * @param limits the limits on memory
	 * @param rules the admission conditions outside the table
	 * @param queue decides which accepted orders run and which wait
	 */
	public OrderTable(String incarnation, Clock clock, OrderLimits limits, AdmissionRules rules,
			OrderQueue<ActiveOrder> queue) {
		this.incarnation = incarnation;
		this.clock = clock;
		this.limits = limits;
		this.history = new OrderHistory(clock, limits);
		this.rules = rules;
		this.queue = queue;
	}

	/**
	 * Starts, queues or refuses an order; a refused order never starts later.
	 * @param request the order
	 * @param receivedAtMs the time of arrival in milliseconds since the epoch
	 * @return the result
	 */
	Admission admit(ExecuteRequest request, long receivedAtMs) {
		OrderId id = request.getOrderId();
		Admission.Denied denied = checkIdentity(request);
		if (denied != null) {
			return denied;
		}
		GatewayOrders gateway = this.history.gateway(id.getGatewayIncarnation());
		if (gateway == null) {
			return denied(RefusalReason.OVERLOADED, "this agent has seen too many processes and must be restarted");
		}
		gateway.touch(this.clock.millis());
		this.history.raiseLowWatermark(gateway, request.getResolvedThrough());
		denied = checkHistory(gateway, id.getSequence());
		if (denied != null) {
			return denied;
		}
		this.history.reclaimFor(request);
		denied = checkState(request, receivedAtMs);
		if (denied != null) {
			this.history.addTombstone(gateway, id.getSequence());
			return denied;
		}
		ActiveOrder order = new ActiveOrder(request, this.clock.millis());
		SchedulingAttributes attributes = new SchedulingAttributes(request.getWorkspace(), request.getPriority(),
				receivedAtMs + request.getTimeoutMs());
		QueueDecision<ActiveOrder> decision = this.queue.offer(attributes, order);
		if (decision instanceof QueueDecision.Refuse<ActiveOrder> refusal) {
			this.history.addTombstone(gateway, id.getSequence());
			return denied(RefusalReason.OVERLOADED, refusal.detail());
		}
		this.history.add(gateway, order);
		this.active.add(order);
		return toAdmission(decision, order);
	}

	/**
	 * Starts the next queued order.
	 * @return the order, or {@code null} when none waits or none may start
	 */
	@Nullable
	ActiveOrder startNext() {
		QueueTicket<ActiveOrder> next = this.queue.startNext();
		if (next == null) {
			return null;
		}
		next.item().setStartedAtMs(this.clock.millis());
		return next.item();
	}

	/**
	 * Removes an order from the queue, so that it never starts.
	 * @param order the order; ignored when it does not wait
	 * @param reason the reason for the refusal
	 * @param detail a description of the reason
	 */
	void withdraw(ActiveOrder order, RefusalReason reason, String detail) {
		QueueTicket<ActiveOrder> ticket = order.ticket();
		if (ticket != null && this.queue.withdraw(ticket)) {
			endWithdrawn(order, reason, detail);
		}
	}

	/**
	 * Ends an order that the backend server has not run.
	 * @param order the order
	 */
	void notRun(ActiveOrder order) {
		releaseTicket(order);
		setOutcome(order, OrderSlot.TOMBSTONE);
	}

	/**
	 * Ends an order that was run.
	 * @param order the order
	 * @param receipt its receipt
	 * @param response the response of a not-repeatable call, {@code null} when it is not
	 * retained
	 */
	void finish(ActiveOrder order, Receipt receipt, @Nullable RetainedResponse response) {
		releaseTicket(order);
		setOutcome(order, new OrderSlot.Finished(receipt, response));
	}

	/**
	 * Returns the state of an order; tombstones it when it has not started.
	 * @param id the id of an order to this agent incarnation; the state of an order to
	 * another incarnation is unknown here
	 * @param cancel whether to cancel the order when it waits, or when it runs and is
	 * repeatable
	 * @return the state, with receipt and retained response when it is finished
	 */
	ResolveOrderResponse resolve(OrderId id, boolean cancel) {
		GatewayOrders gateway = this.history.gateway(id.getGatewayIncarnation());
		if (gateway == null) {
			return response(OrderState.NEVER_STARTED);
		}
		OrderSlot slot = gateway.get(id.getSequence());
		if (slot == null && id.getSequence() <= gateway.lowWatermark()) {
			return response(OrderState.FORGOTTEN);
		}
		if (slot instanceof OrderSlot.Active activeSlot) {
			if (cancel && activeSlot.order().isQueued()) {
				withdraw(activeSlot.order(), RefusalReason.TOMBSTONED, "the gateway cancelled the order");
				return response(OrderState.NEVER_STARTED);
			}
			if (cancel) {
				activeSlot.order().cancelIfRepeatable();
			}
			return response(OrderState.RUNNING);
		}
		if (slot instanceof OrderSlot.Finished finished) {
			return finished.toResponse();
		}
		if (slot == null) {
			this.history.addTombstone(gateway, id.getSequence());
		}
		return response(OrderState.NEVER_STARTED);
	}

	/**
	 * Closes a process. Refuses all further orders that it sends as gateway or whose
	 * grants it holds, withdraws such orders from the queue, and cancels the running
	 * repeatable orders that it sent.
	 * @param incarnation the incarnation of the process, as gateway and as holder
	 */
	void closeProcess(String incarnation) {
		this.history.closeProcess(incarnation);
		for (ActiveOrder order : List.copyOf(this.active)) {
			boolean ofGateway = order.request().getOrderId().getGatewayIncarnation().equals(incarnation);
			if (order.isQueued() && order.belongsTo(incarnation)) {
				withdraw(order, (ofGateway) ? RefusalReason.GATEWAY_CLOSED : RefusalReason.HOLDER_CLOSED,
						incarnation + " was closed");
			}
			else if (ofGateway) {
				order.cancelIfRepeatable();
			}
		}
	}

	/**
	 * Returns the active orders that a process sent as gateway or whose grants it holds.
	 * @param incarnation the incarnation of the process
	 * @return the orders that run or wait
	 */
	List<ActiveOrder> activeOrdersOf(String incarnation) {
		List<ActiveOrder> orders = new ArrayList<>();
		this.active.stream().filter((order) -> order.belongsTo(incarnation)).forEach(orders::add);
		return orders;
	}

	/**
	 * Returns whether an order is addressed to this agent incarnation.
	 * @param id the id of the order
	 * @return {@code false} when it is addressed to another incarnation
	 */
	boolean isForThisAgent(OrderId id) {
		return id.getAgentIncarnation().equals(this.incarnation);
	}

	/**
	 * Returns the number of orders that run or wait.
	 * @return the count
	 */
	public int inProgress() {
		return this.active.size();
	}

	/**
	 * Returns the number of orders that wait.
	 * @return the count
	 */
	int waiting() {
		return this.queue.waiting();
	}

	/**
	 * Returns the time by which a queued order must start or be withdrawn.
	 * @param order the order
	 * @return the time in milliseconds since the epoch, {@link Long#MAX_VALUE} for an
	 * order without a ticket
	 */
	long queueDeadlineMs(ActiveOrder order) {
		QueueTicket<ActiveOrder> ticket = order.ticket();
		return (ticket != null) ? ticket.deadlineMs() : Long.MAX_VALUE;
	}

	/**
	 * Records a refusal because of overload and returns the retry delay for the gateway.
	 * @return the delay in milliseconds, 1 or more
	 */
	long nextRetryAfterMs() {
		return this.queue.nextRetryAfterMs();
	}

	/**
	 * Returns whether the agent is draining.
	 * @return {@code true} when new orders are refused
	 */
	boolean isDraining() {
		return this.rules.isDraining();
	}

	/**
	 * Returns whether the table starts no further order because the limit on processes
	 * was exceeded.
	 * @return {@code true} when the agent must be restarted
	 */
	public boolean exhausted() {
		return this.history.exhausted();
	}

	private Admission toAdmission(QueueDecision<ActiveOrder> decision, ActiveOrder order) {
		if (decision instanceof QueueDecision.Wait<ActiveOrder> wait) {
			order.setTicket(wait.ticket());
			QueueTicket<ActiveOrder> shedTicket = wait.shed();
			if (shedTicket != null) {
				endWithdrawn(shedTicket.item(), RefusalReason.OVERLOADED,
						"a more urgent order took its place in the queue");
			}
			return new Admission.Queued(order);
		}
		if (decision instanceof QueueDecision.Start<ActiveOrder> start) {
			order.setTicket(start.ticket());
		}
		return new Admission.Started(order);
	}

	private void endWithdrawn(ActiveOrder order, RefusalReason reason, String detail) {
		setOutcome(order, OrderSlot.TOMBSTONE);
		ActiveOrder.QueueListener listener = order.queueListener();
		if (listener != null) {
			listener.onWithdrawn(reason, detail);
		}
	}

	private void releaseTicket(ActiveOrder order) {
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
		if (this.history.isClosed(id.getGatewayIncarnation())) {
			return denied(RefusalReason.GATEWAY_CLOSED, "gateway " + id.getGatewayIncarnation() + " was closed");
		}
		String error = OrderValidator.findError(request);
		return (error != null) ? denied(RefusalReason.INVALID_ORDER, error) : null;
	}

	private Admission.@Nullable Denied checkHistory(GatewayOrders gateway, long sequence) {
		OrderSlot slot = gateway.get(sequence);
		if (slot instanceof OrderSlot.Active || slot instanceof OrderSlot.Finished) {
			return denied(RefusalReason.DUPLICATE_ORDER, "order " + sequence + " was started before");
		}
		if (slot != null || sequence <= gateway.lowWatermark()) {
			return denied(RefusalReason.TOMBSTONED, "order " + sequence + " must not start any more");
		}
		return null;
	}

	private Admission.@Nullable Denied checkState(ExecuteRequest request, long receivedAtMs) {
		if (this.history.isClosed(request.getHolderIncarnation())) {
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
		if (this.history.exhausted() || this.active.size() >= this.limits.maxInProgress()
				|| !this.rules.hasReceiptCapacity(this.active.size()) || this.history.isFullFor(request)) {
			return denied(RefusalReason.OVERLOADED, "too many orders or receipts wait");
		}
		return null;
	}

	private void setOutcome(ActiveOrder order, OrderSlot slot) {
		if (this.active.remove(order)) {
			this.history.setOutcome(order, slot);
		}
	}

	private static Admission.Denied denied(RefusalReason reason, String detail) {
		return new Admission.Denied(reason, detail);
	}

	private static ResolveOrderResponse response(OrderState state) {
		return ResolveOrderResponse.newBuilder().setState(state).build();
	}

}
