package io.verbenacleat.bench.routing;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

import io.verbenacleat.entry.routing.PrefixKey;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Records which server has cached which block, from the cache events of the engines.
 * Events arrive late, and some are lost. Not safe for use by several threads.
 */
final class CacheDirectory {

	private static final double LOST_SHARE = 0.1;

	private static final long DELAY_US = 1_000_000;

	private final VirtualTime time;

	private final UniformRandomProvider random;

	private final Map<Long, BitSet> serversByBlock = new HashMap<>();

	CacheDirectory(VirtualTime time, UniformRandomProvider random) {
		this.time = time;
		this.random = random;
	}

	/**
	 * Returns a listener to the cache of one engine.
	 * @param server the index of the server
	 * @return a listener that updates this directory with a delay, and ignores a part of
	 * the events
	 */
	PrefixCache.Listener listenerOf(int server) {
		return new PrefixCache.Listener() {
			@Override
			public void onAdded(long block) {
				scheduleUpdate(() -> CacheDirectory.this.serversByBlock.computeIfAbsent(block, (key) -> new BitSet())
					.set(server));
			}

			@Override
			public void onEvicted(long block) {
				scheduleUpdate(() -> CacheDirectory.this.serversByBlock.computeIfPresent(block, (key, set) -> {
					set.clear(server);
					return (set.isEmpty()) ? null : set;
				}));
			}
		};
	}

	/**
	 * Returns how many leading blocks of a prompt each server has cached.
	 * @param prompt the prompt
	 * @param servers the number of servers
	 * @return the number of blocks by the index of the server
	 */
	int[] cachedBlocks(PrefixKey prompt, int servers) {
		int[] cached = new int[servers];
		BitSet holdingAllBlocks = null;
		for (int i = 0; i < prompt.size(); i++) {
			BitSet holdingBlock = this.serversByBlock.get(prompt.blockHash(i));
			if (holdingBlock == null) {
				return cached;
			}
			if (holdingAllBlocks == null) {
				holdingAllBlocks = (BitSet) holdingBlock.clone();
			}
			else {
				holdingAllBlocks.and(holdingBlock);
			}
			if (holdingAllBlocks.isEmpty()) {
				return cached;
			}
			for (int server = holdingAllBlocks.nextSetBit(0); server >= 0; server = holdingAllBlocks
				.nextSetBit(server + 1)) {
				cached[server] = i + 1;
			}
		}
		return cached;
	}

	private void scheduleUpdate(Runnable update) {
		if (this.random.nextDouble() >= LOST_SHARE) {
			this.time.schedule((long) (DELAY_US * (0.5 + this.random.nextDouble())), update);
		}
	}

}
