package io.verbenacleat.bench.routing;

import java.util.List;

import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.entry.routing.RoutingCandidate;
import io.verbenacleat.entry.routing.RoutingPolicy;

/**
 * What one entry remembers of its own requests: the blocks that it sent to each server,
 * as if each server kept the last ones of this entry. Not safe for use by several
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
	 * Returns a policy that remembers what another one selected.
	 * @param policy the policy
	 * @return the policy with memory
	 */
	RoutingPolicy recordingSelections(RoutingPolicy policy) {
		return (PrefixKey prefix, List<RoutingCandidate> candidates) -> {
			RoutingCandidate selected = policy.select(prefix, candidates);
			this.sent[ServerNames.index(selected.server())].add(prefix);
			return selected;
		};
	}

}
