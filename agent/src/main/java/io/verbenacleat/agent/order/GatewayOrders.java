package io.verbenacleat.agent.order;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Order slots of one gateway incarnation. No order up to the low watermark starts any
 * more, and only active ones have a slot: the gateway has resolved the others, or their
 * outcomes were discarded to free memory. Above the low watermark, an order up to
 * {@code tombstonedThrough} that has no slot counts as tombstoned; this bounds the memory
 * for tombstones. Control thread only.
 */
final class GatewayOrders {

	private final TreeMap<Long, OrderSlot> slots = new TreeMap<>();

	private long lastUsedMs;

	private long lowWatermark;

	private long tombstonedThrough;

	void touch(long nowMs) {
		this.lastUsedMs = nowMs;
	}

	long lastUsedMs() {
		return this.lastUsedMs;
	}

	/**
	 * Returns the highest sequence number that has a slot.
	 * @return the sequence number, 0 without slots
	 */
	long highestSequence() {
		return (this.slots.isEmpty()) ? 0 : this.slots.lastKey();
	}

	long lowWatermark() {
		return this.lowWatermark;
	}

	/**
	 * Returns the slot of an order.
	 * @param sequence the sequence number of the order
	 * @return the slot, or {@code null} when the order may still start or its outcome was
	 * discarded
	 */
	@Nullable
	OrderSlot get(long sequence) {
		OrderSlot slot = this.slots.get(sequence);
		if (slot == null && sequence > this.lowWatermark && sequence <= this.tombstonedThrough) {
			return OrderSlot.TOMBSTONE;
		}
		return slot;
	}

	void put(long sequence, OrderSlot slot) {
		this.slots.put(sequence, slot);
	}

	void remove(long sequence) {
		this.slots.remove(sequence);
	}

	/**
	 * Tombstones all orders up to a sequence number that have no slot.
	 * @param sequence the sequence number
	 */
	void tombstoneThrough(long sequence) {
		this.tombstonedThrough = Math.max(this.tombstonedThrough, sequence);
	}

	/**
	 * Raises the low watermark and discards the slots of ended orders up to it.
	 * @param resolvedThrough the new low watermark; a value below the current one is
	 * ignored
	 * @return the discarded slots by sequence number
	 */
	Map<Long, OrderSlot> raiseLowWatermark(long resolvedThrough) {
		Map<Long, OrderSlot> removed = new TreeMap<>();
		this.lowWatermark = Math.max(this.lowWatermark, resolvedThrough);
		Iterator<Map.Entry<Long, OrderSlot>> entries = this.slots.headMap(this.lowWatermark, true)
			.entrySet()
			.iterator();
		while (entries.hasNext()) {
			Map.Entry<Long, OrderSlot> entry = entries.next();
			if (!(entry.getValue() instanceof OrderSlot.Active)) {
				removed.put(entry.getKey(), entry.getValue());
				entries.remove();
			}
		}
		return removed;
	}

}
