package io.verbenacleat.bench.hotkeys;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts every key in a hash map, without eviction. A count is decayed only when its key
 * arrives again. Not safe for use by several threads.
 */
final class ExactKeys implements FrequentKeys {

	private final Decay decay;

	private final Map<Long, Counter> counters = new HashMap<>();

	ExactKeys(Decay decay) {
		this.decay = decay;
	}

	@Override
	public void add(long key, long nowMs) {
		Counter counter = this.counters.get(key);
		if (counter == null) {
			this.counters.put(key, new Counter(key, 1, 0, nowMs));
		}
		else {
			counter.add(this.decay, nowMs);
		}
	}

	@Override
	public Collection<Counter> counters() {
		return this.counters.values();
	}

}
