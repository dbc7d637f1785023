package io.verbenacleat.entry.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Selects the candidate with the lowest load. Ties are broken by a salted hash that
 * differs with each selection, so that the entries do not all select the same candidate
 * between two load reports. Safe for use by several threads if the source of salts is.
 */
public final class LeastLoadedPolicy implements RoutingPolicy {

	private final IntSupplier saltSource;

	/**
	 * Creates a policy.
	 * @param saltSource returns a random salt for each selection
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
