package io.verbenacleat.agent.order;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * The orders of one gateway incarnation. Below the mark only running orders are kept.
 * Between the mark and the floor an order without a slot never started and never will, so
 * any number of tombstones fits in one number. Control thread only.
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
	 * Returns the highest sequence that has a slot.
	 * @return the sequence, 0 without slots
	 */
	long highestSequence() {
		return (this.slots.isEmpty()) ? 0 : this.slots.lastKey();
	}

	long lowWatermark() {
		return this.lowWatermark;
	}

	/**
	 * Returns what is known of an order.
	 * @param sequence the order
	 * @return its slot, or {@code null} when it may still start or was forgotten
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
	 * Makes sure that no order up to a sequence starts any more.
	 * @param sequence the sequence
	 */
	void tombstoneThrough(long sequence) {
		this.tombstonedThrough = Math.max(this.tombstonedThrough, sequence);
	}

	/**
	 * Raises the mark and forgets the orders that ended below it.
	 * @param resolvedThrough the new mark; a lower one than before changes nothing
	 * @return the slots that were forgotten
	 */
	Map<Long, OrderSlot> raiseLowWatermark(long resolvedThrough) {
		Map<Long, OrderSlot> removed = new TreeMap<>();
		this.lowWatermark = Math.max(this.lowWatermark, resolvedThrough);
		Iterator<Map.Entry<Long, OrderSlot>> entries = this.slots.headMap(this.lowWatermark, true).entrySet().iterator();
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
