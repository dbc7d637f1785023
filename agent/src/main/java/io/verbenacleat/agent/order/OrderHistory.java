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
 * Order slots of all gateways and the set of closed processes, bounded by
 * {@link OrderLimits}. Control thread only.
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
	 * Returns the orders of a gateway, and adds the gateway if it is new.
	 * @param incarnation the incarnation of the gateway
	 * @return its orders, or {@code null} when the gateway is new and the limit on
	 * processes has been reached
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
	 * Records that a process was closed.
	 * @param incarnation the incarnation of the process
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
	 * Returns whether the limit on processes was exceeded.
	 * @return {@code true} when no further order may start
	 */
	boolean exhausted() {
		return this.exhausted;
	}

	/**
	 * Adds a tombstone for an order without a slot, so that it never starts.
	 * @param gateway the gateway of the order
	 * @param sequence the sequence number of the order
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
	 * Adds an accepted order.
	 * @param gateway the gateway of the order
	 * @param order the order
	 */
	void add(GatewayOrders gateway, ActiveOrder order) {
		gateway.put(order.request().getOrderId().getSequence(), new OrderSlot.Active(order));
		this.slotCount++;
		this.retainedBytes += reservedBytes(order.request());
		this.requestBytes += order.request().getSerializedSize();
	}

	/**
	 * Replaces the slot of an accepted order, or removes it when the order is not above
	 * the low watermark.
	 * @param order the order
	 * @param slot the new slot
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
	 * Returns whether one more order would exceed a limit.
	 * @param request the order
	 * @return {@code true} when the slots, the retained responses or the requests would
	 * exceed their limit
	 */
	boolean isFullFor(ExecuteRequest request) {
		return this.slotCount >= this.limits.maxSlots()
				|| this.retainedBytes + reservedBytes(request) > this.limits.maxRetainedBytes()
				|| this.requestBytes + request.getSerializedSize() > this.limits.maxRequestBytes();
	}

	/**
	 * Discards the outcomes of closed and idle gateways when an order would exceed a
	 * limit. Runs at most once every 10 s.
	 * @param request the order to make room for
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
	 * Raises the low watermark of a gateway and discards the outcomes up to it.
	 * @param gateway the gateway
	 * @param sequence the new low watermark
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
