package io.verbenacleat.entry.budget;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Remembers which receipts were billed. Receipts that are not durable are all remembered;
 * of the durable ones the latest, since the agents drop them soon after they were told.
 * Used on the control thread only.
 */
final class BilledReceipts {

	private final int maxDurable;

	private final Set<String> pending = new HashSet<>();

	private final Map<String, Boolean> durable = new LinkedHashMap<>();

	private boolean evicted;

	/**
	 * Creates a memory.
	 * @param maxDurable how many durable receipts are remembered, more than zero
	 */
	BilledReceipts(int maxDurable) {
		this.maxDurable = maxDurable;
	}

	void addPending(String requestId) {
		this.pending.add(requestId);
	}

	void addDurable(String requestId) {
		this.pending.remove(requestId);
		this.durable.put(requestId, Boolean.TRUE);
		if (this.durable.size() > this.maxDurable) {
			this.durable.remove(this.durable.keySet().iterator().next());
			this.evicted = true;
		}
	}

	boolean contains(String requestId) {
		return this.pending.contains(requestId) || this.durable.containsKey(requestId);
	}

	boolean durable(String requestId) {
		return this.durable.containsKey(requestId);
	}

	/**
	 * Returns whether a durable receipt was dropped, so that the journal must be searched
	 * for a request that is not known here.
	 * @return {@code true} after the first drop
	 */
	boolean evicted() {
		return this.evicted;
	}

}
