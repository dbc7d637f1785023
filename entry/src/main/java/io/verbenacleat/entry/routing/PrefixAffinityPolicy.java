package io.verbenacleat.entry.routing;

import java.util.List;

import com.google.common.hash.Hashing;

/**
 * Routes prompts with equal prefixes to the same backend server while its load permits.
 * Rendezvous hashing of the prefix ranks the servers alike at every entry without
 * communication. The policy selects the highest ranked server whose load is within a
 * factor of the mean load, so a popular prefix spreads to the servers ranked next.
 * Requests without a prompt are left to the fallback policy. Safe for use by several
 * threads if the fallback is.
 */
public final class PrefixAffinityPolicy implements RoutingPolicy {

	private final int depth;

	private final double loadFactor;

	private final RoutingPolicy fallback;

	/**
	 * Creates a policy.
	 * @param depth the maximum number of prefix blocks to hash, 1 or more
	 * @param loadFactor the maximum load relative to the mean load, 1 or more
	 * @param fallback selects the servers of requests without a prompt
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
		// Rounded up, so that at least one candidate is within the bound.
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
	 * Returns the rendezvous weight of a server for a prefix; the highest weight ranks
	 * first.
	 * @param hash the hash of the prefix
	 * @param server the name of the backend server
	 * @return the weight
	 */
	public static long weight(long hash, String server) {
		return Hashing.murmur3_128().newHasher().putLong(hash).putUnencodedChars(server).hash().asLong();
	}

}
