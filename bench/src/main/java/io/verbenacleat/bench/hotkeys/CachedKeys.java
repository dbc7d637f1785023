package io.verbenacleat.bench.hotkeys;

import java.util.Collection;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Counts keys in a cache with an admission filter. The count of an evicted key restarts
 * at one, so that counts may be too low. Not safe for use by several threads.
 */
final class CachedKeys implements FrequentKeys {

	private final Decay decay;

	private final Cache<Long, Counter> counters;

	CachedKeys(Decay decay, int capacity) {
		this.decay = decay;
		// Maintenance runs on the calling thread, so that runs are reproducible and its
		// time is measured.
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
