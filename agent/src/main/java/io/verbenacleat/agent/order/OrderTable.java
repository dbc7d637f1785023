package io.verbenacleat.agent.order;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

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

	private static final long IDLE_GATEWAY_MS = 3_600_000;

	private static final long RECLAIM_INTERVAL_MS = 10_000;

	private final String incarnation;

	private final Clock clock;

	private final OrderLimits limits;

	private final AdmissionRules rules;

	private final Map<String, GatewayOrders> gateways = new HashMap<>();

	private final Set<String> closed = new HashSet<>();

	private final Set<RunningOrder> running = new HashSet<>();

	private int slotCount;

	private long keptBytes;

	private boolean exhausted;

	private long reclaimAtMs = Long.MIN_VALUE;

	/**
	 * Creates an empty table.
	 * @param incarnation the incarnation of this agent
	 * @param clock the clock for start times
	 * @param limits the bounds
	 * @param rules the conditions outside the table
	 */
	public OrderTable(String incarnation, Clock clock, OrderLimits limits, AdmissionRules rules) {
		this.incarnation = incarnation;
		this.clock = clock;
		this.limits = limits;
		this.rules = rules;
	}

	/**
	 * Starts or refuses an order; a refused order never starts later.
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
		GatewayOrders gateway = gateway(id.getGatewayIncarnation());
		if (gateway == null) {
			return denied(RefusalReason.OVERLOADED, "this agent has seen too many processes and must be restarted");
		}
		gateway.use(this.clock.millis());
		forget(gateway.raiseMark(request.getResolvedThrough()));
		denied = checkHistory(gateway, id.getSequence());
		if (denied != null) {
			return denied;
		}
		reclaim(request);
		denied = checkState(request, receivedAtMs);
		if (denied != null) {
			bury(gateway, id.getSequence());
			return denied;
		}
		RunningOrder order = new RunningOrder(request, this.clock.millis());
		gateway.put(id.getSequence(), new OrderSlot.Running(order));
		this.slotCount++;
		this.keptBytes += reservedBytes(request);
		this.running.add(order);
		return new Admission.Started(order);
	}

	/**
	 * Ends an order of which nothing was sent to the backend server.
	 * @param order the order
	 */
	void notRun(RunningOrder order) {
		end(order, OrderSlot.TOMBSTONE);
	}

	/**
	 * Ends an order.
	 * @param order the order
	 * @param receipt its bill
	 * @param response the response of a not-repeatable call, {@code null} when not kept
	 */
	void finish(RunningOrder order, Receipt receipt, @Nullable KeptResponse response) {
		end(order, new OrderSlot.Finished(receipt, response));
	}

	/**
	 * Reports an order, or makes sure that it never starts.
	 * @param id an order to this agent incarnation; this agent cannot know the fate of an
	 * order to another one
	 * @param cancel whether to stop it when it runs and is repeatable
	 * @return the report
	 */
	ResolveOrderResponse resolve(OrderId id, boolean cancel) {
		GatewayOrders gateway = gateway(id.getGatewayIncarnation());
		if (gateway == null) {
			return report(OrderState.NEVER_STARTED);
		}
		OrderSlot slot = gateway.get(id.getSequence());
		if (slot == null && id.getSequence() <= gateway.mark()) {
			return report(OrderState.FORGOTTEN);
		}
		if (slot instanceof OrderSlot.Running active) {
			if (cancel) {
				active.order().cancelIfRepeatable();
			}
			return report(OrderState.RUNNING);
		}
		if (slot instanceof OrderSlot.Finished finished) {
			return report(finished);
		}
		if (slot == null) {
			bury(gateway, id.getSequence());
		}
		return report(OrderState.NEVER_STARTED);
	}

	/**
	 * Refuses from now on the orders of a gateway and those on the grants of a holder,
	 * and stops the running repeatable orders of the gateway.
	 * @param process the incarnation of the gateway and holder
	 */
	void close(String process) {
		if (this.closed.size() >= this.limits.maxProcesses() && !this.closed.contains(process)) {
			this.exhausted = true;
		}
		else {
			this.closed.add(process);
		}
		for (RunningOrder order : List.copyOf(this.running)) {
			if (order.request().getOrderId().getGatewayIncarnation().equals(process)) {
				order.cancelIfRepeatable();
			}
		}
	}

	/**
	 * Returns the running orders of a gateway or on the grants of a holder.
	 * @param process the incarnation
	 * @return the orders
	 */
	List<RunningOrder> runningOf(String process) {
		List<RunningOrder> found = new ArrayList<>();
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
	 * Returns how many orders run.
	 * @return the count
	 */
	public int inProgress() {
		return this.running.size();
	}

	/**
	 * Returns whether the agent drains.
	 * @return {@code true} when new orders are refused
	 */
	boolean draining() {
		return this.rules.draining();
	}

	/**
	 * Returns whether the table starts no order any more because it has seen too many
	 * processes.
	 * @return {@code true} when the agent must be restarted
	 */
	public boolean exhausted() {
		return this.exhausted;
	}

	private Admission.@Nullable Denied checkIdentity(ExecuteRequest request) {
		OrderId id = request.getOrderId();
		if (!id.getAgentIncarnation().equals(this.incarnation)) {
			return denied(RefusalReason.WRONG_INCARNATION, "this agent is " + this.incarnation);
		}
		if (this.closed.contains(id.getGatewayIncarnation())) {
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
		if (this.closed.contains(request.getHolderIncarnation())) {
			return denied(RefusalReason.HOLDER_CLOSED, "holder " + request.getHolderIncarnation() + " was closed");
		}
		if (!this.rules.isMember(request.getHolderIncarnation())
				|| !this.rules.isMember(request.getOrderId().getGatewayIncarnation())) {
			return denied(RefusalReason.NOT_A_MEMBER, "the gateway or the holder is not a known member");
		}
		if (this.rules.draining()) {
			return denied(RefusalReason.DRAINING, "this agent drains");
		}
		if (!this.rules.serves(request)) {
			return denied(RefusalReason.MODEL_NOT_SERVED, "this backend server does not serve the target");
		}
		if (this.clock.millis() - receivedAtMs >= request.getTimeoutMs()) {
			return denied(RefusalReason.OVERLOADED, "the timeout passed before the order could start");
		}
		if (this.exhausted || this.running.size() >= this.limits.maxInProgress()
				|| !this.rules.roomForReceipts(this.running.size()) || full(request)) {
			return denied(RefusalReason.OVERLOADED, "too many orders or receipts wait");
		}
		return null;
	}

	private @Nullable GatewayOrders gateway(String name) {
		GatewayOrders known = this.gateways.get(name);
		if (known != null) {
			return known;
		}
		if (this.exhausted || this.gateways.size() >= this.limits.maxProcesses()) {
			this.exhausted = true;
			return null;
		}
		GatewayOrders created = new GatewayOrders();
		this.gateways.put(name, created);
		return created;
	}

	private void bury(GatewayOrders gateway, long sequence) {
		if (this.slotCount < this.limits.maxSlots()) {
			gateway.put(sequence, OrderSlot.TOMBSTONE);
			this.slotCount++;
		}
		else {
			gateway.raiseFloor(sequence);
		}
	}

	private void end(RunningOrder order, OrderSlot slot) {
		if (!this.running.remove(order)) {
			return;
		}
		OrderId id = order.request().getOrderId();
		GatewayOrders gateway = this.gateways.get(id.getGatewayIncarnation());
		this.keptBytes -= reservedBytes(order.request());
		if (gateway == null) {
			return;
		}
		if (id.getSequence() <= gateway.mark()) {
			gateway.remove(id.getSequence());
			this.slotCount--;
			return;
		}
		gateway.put(id.getSequence(), slot);
		this.keptBytes += slot.keptBytes();
	}

	private boolean full(ExecuteRequest request) {
		return this.slotCount >= this.limits.maxSlots()
				|| this.keptBytes + reservedBytes(request) > this.limits.maxKeptBytes();
	}

	private void reclaim(ExecuteRequest request) {
		long nowMs = this.clock.millis();
		if (nowMs < this.reclaimAtMs || !full(request)) {
			return;
		}
		this.reclaimAtMs = nowMs + RECLAIM_INTERVAL_MS;
		this.gateways.forEach((name, gateway) -> {
			if (this.closed.contains(name) || nowMs - gateway.lastUsedMs() >= IDLE_GATEWAY_MS) {
				forget(gateway.raiseMark(gateway.highest()));
			}
		});
	}

	private void forget(Map<Long, OrderSlot> slots) {
		this.slotCount -= slots.size();
		slots.values().forEach((slot) -> this.keptBytes -= slot.keptBytes());
	}

	private static long reservedBytes(ExecuteRequest request) {
		return (request.getRepeatable() || !request.hasHttp()) ? 0 : KeptResponse.MAX_BYTES;
	}

	private static Admission.Denied denied(RefusalReason reason, String detail) {
		return new Admission.Denied(reason, detail);
	}

	private static ResolveOrderResponse report(OrderState state) {
		return ResolveOrderResponse.newBuilder().setState(state).build();
	}

	private static ResolveOrderResponse report(OrderSlot.Finished finished) {
		ResolveOrderResponse.Builder builder = ResolveOrderResponse.newBuilder()
			.setState(OrderState.FINISHED)
			.setReceipt(finished.receipt());
		KeptResponse response = finished.response();
		if (response != null) {
			builder.setHttpHead(response.head()).setHttpBody(response.body());
		}
		return builder.build();
	}

}
