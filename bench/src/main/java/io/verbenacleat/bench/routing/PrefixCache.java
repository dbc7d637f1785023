package io.verbenacleat.bench.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import io.verbenacleat.entry.routing.PrefixKey;

/**
 * The prefix cache of a fake engine, with eviction of the least recently used blocks. The
 * blocks of a text are accessed from last to first, so that the last ones are evicted
 * first: a cached block is useless without those before it. Not safe for use by several
 * threads.
 */
final class PrefixCache {

	private final int capacity;

	private final Listener listener;

	private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

	PrefixCache(int capacity, Listener listener) {
		this.capacity = capacity;
		this.listener = listener;
	}

	/**
	 * Finds the cached blocks at the start of a prompt and marks them as used.
	 * @param prompt the prompt
	 * @return the number of cached blocks
	 */
	int use(PrefixKey prompt) {
		int cached = 0;
		while (cached < prompt.size() && this.blocks.containsKey(prompt.blockHash(cached))) {
			cached++;
		}
		for (int i = cached - 1; i >= 0; i--) {
			this.blocks.get(prompt.blockHash(i));
		}
		return cached;
	}

	/**
	 * Adds the blocks of a text and evicts the least recently used ones over the
	 * capacity.
	 * @param text the text
	 */
	void add(PrefixKey text) {
		for (int i = text.size() - 1; i >= 0; i--) {
			if (this.blocks.put(text.blockHash(i), true) == null) {
				this.listener.onAdded(text.blockHash(i));
			}
		}
		Iterator<Long> oldest = this.blocks.keySet().iterator();
		for (int i = this.blocks.size(); i > this.capacity; i--) {
			long block = oldest.next();
			oldest.remove();
			this.listener.onEvicted(block);
		}
	}

	/**
	 * Receives the changes of a cache.
	 */
	interface Listener {

		void onAdded(long block);

		void onEvicted(long block);

	}

}
