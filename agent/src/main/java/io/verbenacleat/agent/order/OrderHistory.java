package io.verbenacleat.agent.order;

import java.time.Clock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.OrderId;
import org.jspecify.annotations.Nullable;

/**
 * The slots of all gateways and the closed processes, within {@link OrderLimits}. Control
 * thread only.
 */
final class OrderHistory {

	private static final long IDLE_GATEWAY_MS = 3_600_000;

	private static final long RECLAIM_INTERVAL_MS = 10_000;

	private final Clock clock;

	private final OrderLimits limits;

	private final Map<String, GatewayOrders> gateways = new HashMap<>();

	private final Set<String> closedProcesses = new HashSet<>();

	private int slotCount;

	private long retainedBytes;

	private long requestBytes;

	private boolean exhausted;

	private long nextReclaimMs = Long.MIN_VALUE;

	OrderHistory(Clock clock, OrderLimits limits) {
		this.clock = clock;
		this.limits = limits;
	}

	/**
	 * Returns the orders of a gateway, which is remembered from then on.
	 * @param incarnation the gateway
	 * @return its orders, or {@code null} when too many gateways were seen
	 */
	@Nullable
	GatewayOrders gateway(String incarnation) {
		GatewayOrders existing = this.gateways.get(incarnation);
		if (existing != null) {
			return existing;
		}
		if (this.exhausted || this.gateways.size() >= this.limits.maxProcesses()) {
			this.exhausted = true;
			return null;
		}
		GatewayOrders created = new GatewayOrders();
		this.gateways.put(incarnation, created);
		return created;
	}

	/**
	 * Remembers that a process was closed.
	 * @param incarnation the incarnation
	 */
	void closeProcess(String incarnation) {
		if (this.closedProcesses.size() >= this.limits.maxProcesses() && !this.closedProcesses.contains(incarnation)) {
			this.exhausted = true;
		}
		else {
			this.closedProcesses.add(incarnation);
		}
	}

	boolean isClosed(String incarnation) {
		return this.closedProcesses.contains(incarnation);
	}

	/**
	 * Returns whether too many processes were seen.
	 * @return {@code true} when no order may start any more
	 */
	boolean exhausted() {
		return this.exhausted;
	}

	/**
	 * Makes sure that an order without a slot never starts.
	 * @param gateway its gateway
	 * @param sequence the order
	 */
	void addTombstone(GatewayOrders gateway, long sequence) {
		if (this.slotCount < this.limits.maxSlots()) {
			gateway.put(sequence, OrderSlot.TOMBSTONE);
			this.slotCount++;
		}
		else {
			gateway.tombstoneThrough(sequence);
		}
	}

	/**
	 * Keeps an order that was accepted.
	 * @param gateway its gateway
	 * @param order the order
	 */
	void add(GatewayOrders gateway, ActiveOrder order) {
		gateway.put(order.request().getOrderId().getSequence(), new OrderSlot.Active(order));
		this.slotCount++;
		this.retainedBytes += reservedBytes(order.request());
		this.requestBytes += order.request().getSerializedSize();
	}

	/**
	 * Replaces the slot of an accepted order.
	 * @param order the order
	 * @param slot what is known of it from now on
	 */
	void setOutcome(ActiveOrder order, OrderSlot slot) {
		OrderId id = order.request().getOrderId();
		GatewayOrders gateway = this.gateways.get(id.getGatewayIncarnation());
		this.retainedBytes -= reservedBytes(order.request());
		this.requestBytes -= order.request().getSerializedSize();
		if (gateway == null) {
			return;
		}
		if (id.getSequence() <= gateway.lowWatermark()) {
			gateway.remove(id.getSequence());
			this.slotCount--;
			return;
		}
		gateway.put(id.getSequence(), slot);
		this.retainedBytes += slot.retainedBytes();
	}

	/**
	 * Returns whether there is no room for one more order.
	 * @param request the order
	 * @return {@code true} when the slots, the kept responses or the requests take all
	 * their room
	 */
	boolean isFullFor(ExecuteRequest request) {
		return this.slotCount >= this.limits.maxSlots()
				|| this.retainedBytes + reservedBytes(request) > this.limits.maxRetainedBytes()
				|| this.requestBytes + request.getSerializedSize() > this.limits.maxRequestBytes();
	}

	/**
	 * Forgets the outcomes of closed and idle gateways when there is no room.
	 * @param request the order that needs room
	 */
	void reclaimFor(ExecuteRequest request) {
		long nowMs = this.clock.millis();
		if (nowMs < this.nextReclaimMs || !isFullFor(request)) {
			return;
		}
		this.nextReclaimMs = nowMs + RECLAIM_INTERVAL_MS;
		this.gateways.forEach((name, gateway) -> {
			if (this.closedProcesses.contains(name) || nowMs - gateway.lastUsedMs() >= IDLE_GATEWAY_MS) {
				raiseLowWatermark(gateway, gateway.highestSequence());
			}
		});
	}

	/**
	 * Forgets the orders of a gateway that ended up to a sequence.
	 * @param gateway the gateway
	 * @param sequence the sequence
	 */
	void raiseLowWatermark(GatewayOrders gateway, long sequence) {
		Map<Long, OrderSlot> slots = gateway.raiseLowWatermark(sequence);
		this.slotCount -= slots.size();
		slots.values().forEach((slot) -> this.retainedBytes -= slot.retainedBytes());
	}

	private static long reservedBytes(ExecuteRequest request) {
		return (request.getRepeatable() || !request.hasHttp()) ? 0 : RetainedResponse.MAX_BYTES;
	}

}
