package io.verbenacleat.entry.budget;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The request ids of billed receipts, to detect receipts that arrive again. All receipts
 * that are not durable are kept; of the durable ones only the latest, since agents stop
 * sending a receipt soon after they learn that it is durable. Used on the control thread
 * only.
 */
final class BilledReceipts {

	private final int maxDurable;

	private final Set<String> pending = new HashSet<>();

	private final Map<String, Boolean> durable = new LinkedHashMap<>();

	private boolean evicted;

	/**
	 * Creates an empty collection.
	 * @param maxDurable the maximum number of durable receipts to keep, more than zero
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
	 * Returns whether a durable receipt was evicted, so that the journal must be searched
	 * for a request that is not contained here.
	 * @return {@code true} after the first eviction
	 */
	boolean evicted() {
		return this.evicted;
	}

}
