package io.verbenacleat.bench.hotkeys;

import java.util.Collection;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Keeps the counters in a cache with an admission filter. A key that was evicted starts
 * again from one, so that counts may be too low. Not safe for use by several threads.
 */
final class CachedKeys implements FrequentKeys {

	private final Decay decay;

	private final Cache<Long, Counter> counters;

	CachedKeys(Decay decay, int capacity) {
		this.decay = decay;
		// Maintenance on the calling thread makes runs repeat and counts its time.
		this.counters = Caffeine.newBuilder()
			.maximumSize(capacity)
			.initialCapacity(capacity)
			.executor(Runnable::run)
			.build();
	}

	@Override
	public void add(long key, long nowMs) {
		Counter counter = this.counters.getIfPresent(key);
		if (counter == null) {
			this.counters.put(key, new Counter(key, 1, 0, nowMs));
		}
		else {
			counter.add(this.decay, nowMs);
		}
	}

	@Override
	public Collection<Counter> counters() {
		this.counters.cleanUp();
		return this.counters.asMap().values();
	}

}
