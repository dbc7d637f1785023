package io.verbenacleat.bench.routing;

import java.util.List;

import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.entry.routing.RoutingCandidate;
import io.verbenacleat.entry.routing.RoutingPolicy;

/**
 * Records the blocks that one entry sent to each server, as an estimate of the caches of
 * the servers. Requests of other entries are not included. Not safe for use by several
 * threads.
 */
final class SentPrefixes {

	static final PrefixCache.Listener NO_LISTENER = new PrefixCache.Listener() {
		@Override
		public void onAdded(long block) {
		}

		@Override
		public void onEvicted(long block) {
		}
	};

	private final PrefixCache[] sent;

	SentPrefixes(int servers, int blocksPerServer) {
		this.sent = new PrefixCache[servers];
		for (int i = 0; i < servers; i++) {
			this.sent[i] = new PrefixCache(blocksPerServer, NO_LISTENER);
		}
	}

	int[] cachedBlocks(PrefixKey prompt, int servers) {
		int[] cached = new int[servers];
		for (int i = 0; i < servers; i++) {
			cached[i] = this.sent[i].use(prompt);
		}
		return cached;
	}

	/**
	 * Returns a policy that records the selections of another one.
	 * @param policy the policy that selects
	 * @return the policy that selects and records
	 */
	RoutingPolicy recordingSelections(RoutingPolicy policy) {
		return (PrefixKey prefix, List<RoutingCandidate> candidates) -> {
			RoutingCandidate selected = policy.select(prefix, candidates);
			this.sent[ServerNames.index(selected.server())].add(prefix);
			return selected;
		};
	}

}
