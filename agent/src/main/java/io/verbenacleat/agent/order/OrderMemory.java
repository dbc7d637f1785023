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
final class OrderMemory {

	private static final long IDLE_GATEWAY_MS = 3_600_000;

	private static final long RECLAIM_INTERVAL_MS = 10_000;

	private final Clock clock;

	private final OrderLimits limits;

	private final Map<String, GatewayOrders> gateways = new HashMap<>();

	private final Set<String> closed = new HashSet<>();

	private int slotCount;

	private long keptBytes;

	private long requestBytes;

	private boolean exhausted;

	private long reclaimAtMs = Long.MIN_VALUE;

	OrderMemory(Clock clock, OrderLimits limits) {
		this.clock = clock;
		this.limits = limits;
	}

	/**
	 * Returns the orders of a gateway, which is remembered from then on.
	 * @param name the gateway
	 * @return its orders, or {@code null} when too many gateways were seen
	 */
	@Nullable
	GatewayOrders gateway(String name) {
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

	/**
	 * Remembers that a process was closed.
	 * @param process the incarnation
	 */
	void close(String process) {
		if (this.closed.size() >= this.limits.maxProcesses() && !this.closed.contains(process)) {
			this.exhausted = true;
		}
		else {
			this.closed.add(process);
		}
	}

	boolean isClosed(String process) {
		return this.closed.contains(process);
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
	void bury(GatewayOrders gateway, long sequence) {
		if (this.slotCount < this.limits.maxSlots()) {
			gateway.put(sequence, OrderSlot.TOMBSTONE);
			this.slotCount++;
		}
		else {
			gateway.raiseFloor(sequence);
		}
	}

	/**
	 * Keeps an order that was accepted.
	 * @param gateway its gateway
	 * @param order the order
	 */
	void accept(GatewayOrders gateway, ActiveOrder order) {
		gateway.put(order.request().getOrderId().getSequence(), new OrderSlot.Running(order));
		this.slotCount++;
		this.keptBytes += reservedBytes(order.request());
		this.requestBytes += order.request().getSerializedSize();
	}

	/**
	 * Replaces the slot of an accepted order.
	 * @param order the order
	 * @param slot what is known of it from now on
	 */
	void end(ActiveOrder order, OrderSlot slot) {
		OrderId id = order.request().getOrderId();
		GatewayOrders gateway = this.gateways.get(id.getGatewayIncarnation());
		this.keptBytes -= reservedBytes(order.request());
		this.requestBytes -= order.request().getSerializedSize();
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

	/**
	 * Returns whether there is no room for one more order.
	 * @param request the order
	 * @return {@code true} when the slots, the kept responses or the requests take all
	 * their room
	 */
	boolean full(ExecuteRequest request) {
		return this.slotCount >= this.limits.maxSlots()
				|| this.keptBytes + reservedBytes(request) > this.limits.maxKeptBytes()
				|| this.requestBytes + request.getSerializedSize() > this.limits.maxRequestBytes();
	}

	/**
	 * Forgets the outcomes of closed and idle gateways when there is no room.
	 * @param request the order that needs room
	 */
	void reclaim(ExecuteRequest request) {
		long nowMs = this.clock.millis();
		if (nowMs < this.reclaimAtMs || !full(request)) {
			return;
		}
		this.reclaimAtMs = nowMs + RECLAIM_INTERVAL_MS;
		this.gateways.forEach((name, gateway) -> {
			if (this.closed.contains(name) || nowMs - gateway.lastUsedMs() >= IDLE_GATEWAY_MS) {
				raiseMark(gateway, gateway.highest());
			}
		});
	}

	/**
	 * Forgets the orders of a gateway that ended up to a sequence.
	 * @param gateway the gateway
	 * @param sequence the sequence
	 */
	void raiseMark(GatewayOrders gateway, long sequence) {
		Map<Long, OrderSlot> slots = gateway.raiseMark(sequence);
		this.slotCount -= slots.size();
		slots.values().forEach((slot) -> this.keptBytes -= slot.keptBytes());
	}

	private static long reservedBytes(ExecuteRequest request) {
		return (request.getRepeatable() || !request.hasHttp()) ? 0 : KeptResponse.MAX_BYTES;
	}

}
