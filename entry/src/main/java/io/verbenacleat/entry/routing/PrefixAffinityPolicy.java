package io.verbenacleat.entry.routing;

import java.util.List;

import com.google.common.hash.Hashing;

/**
 * Sends prompts with the same start to the same backend server while its load allows it.
 * Rendezvous hashing of the prefix gives the same order of servers at every entry without
 * any messages; the first server in that order whose load is within a factor of the mean
 * load is selected. A popular prefix thus spreads to the next servers of its order.
 * Requests without a prompt go to the fallback. Safe for use by several threads if the
 * fallback is.
 */
public final class PrefixAffinityPolicy implements RoutingPolicy {

	private final int depth;

	private final double loadFactor;

	private final RoutingPolicy fallback;

	/**
	 * Creates a policy.
	 * @param depth how many blocks of the prefix are hashed, 1 or more
	 * @param loadFactor the bound of the load relative to the mean, 1 or more
	 * @param fallback selects for requests without a prompt
	 */
	public PrefixAffinityPolicy(int depth, double loadFactor, RoutingPolicy fallback) {
		this.depth = depth;
		this.loadFactor = loadFactor;
		this.fallback = fallback;
	}

	@Override
	public RoutingCandidate select(PrefixKey prefix, List<RoutingCandidate> candidates) {
		if (prefix.isEmpty()) {
			return this.fallback.select(prefix, candidates);
		}
		long hash = prefix.prefixHash(this.depth);
		long load = candidates.stream().mapToLong(RoutingCandidate::load).sum();
		// Rounded up, so at least one candidate has room for this request.
		double bound = Math.ceil(this.loadFactor * (load + 1) / candidates.size());
		RoutingCandidate best = null;
		long bestWeight = 0;
		for (RoutingCandidate candidate : candidates) {
			if (candidate.load() + 1 <= bound) {
				long weight = weight(hash, candidate.server());
				if (best == null || weight > bestWeight) {
					best = candidate;
					bestWeight = weight;
				}
			}
		}
		return (best != null) ? best : this.fallback.select(prefix, candidates);
	}

	/**
	 * Returns the weight of a server for a prefix; the highest comes first.
	 * @param hash the hash of the prefix
	 * @param server the name of the backend server
	 * @return the weight
	 */
	public static long weight(long hash, String server) {
		return Hashing.murmur3_128().newHasher().putLong(hash).putUnencodedChars(server).hash().asLong();
	}

}
