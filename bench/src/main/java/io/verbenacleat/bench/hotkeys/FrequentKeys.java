package io.verbenacleat.bench.hotkeys;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Counts keys of a stream with exponential decay over time. Implementations are not safe
 * for use by several threads.
 */
interface FrequentKeys {

	/**
	 * Counts one arrival of a key.
	 * @param key the key
	 * @param nowMs the current time, in milliseconds, not before that of an earlier call
	 */
	void add(long key, long nowMs);

	/**
	 * Returns the current counters.
	 * @return the counters, each decayed to its own last update
	 */
	Collection<Counter> counters();

	/**
	 * Returns the keys with the highest counts.
	 * @param limit the maximum number of keys
	 * @param decay the decay
	 * @param nowMs the time, in milliseconds
	 * @return copies of the counters, decayed to that time, in descending order of count
	 */
	default List<Counter> top(int limit, Decay decay, long nowMs) {
		return counters().stream()
			.map((counter) -> counter.copyAt(decay, nowMs))
			.sorted(Comparator.comparingDouble((Counter counter) -> counter.count).reversed())
			.limit(limit)
			.toList();
	}

}
