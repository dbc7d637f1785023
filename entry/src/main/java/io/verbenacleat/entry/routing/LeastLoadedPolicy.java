package io.verbenacleat.entry.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Selects the candidate with the least load. Candidates with equal load are ordered by a
 * hash that changes with each selection, so that the entries do not all pick the same one
 * between two reports. Safe for use by several threads if the salts are.
 */
public final class LeastLoadedPolicy implements RoutingPolicy {

	private final IntSupplier saltSource;

	/**
	 * Creates a policy.
	 * @param saltSource a random number for each selection
	 */
	public LeastLoadedPolicy(IntSupplier saltSource) {
		this.saltSource = saltSource;
	}

	@Override
	public RoutingCandidate select(PrefixKey prefix, List<RoutingCandidate> candidates) {
		int salt = this.saltSource.getAsInt();
		return candidates.stream()
			.min(Comparator.comparingInt(RoutingCandidate::load)
				.thenComparingInt((candidate) -> (candidate.server().hashCode() ^ salt) * 0x9E3779B9))
			.orElseThrow();
	}

}
