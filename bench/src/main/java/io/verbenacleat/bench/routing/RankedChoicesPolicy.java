package io.verbenacleat.bench.routing;

import java.util.Comparator;
import java.util.List;

import io.verbenacleat.entry.routing.PrefixAffinityPolicy;
import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.entry.routing.RoutingCandidate;
import io.verbenacleat.entry.routing.RoutingPolicy;

/**
 * Selects the least loaded of the first few servers in the rendezvous order of the
 * prefix. Immutable.
 */
final class RankedChoicesPolicy implements RoutingPolicy {

	private final int depth;

	private final int choices;

	RankedChoicesPolicy(int depth, int choices) {
		this.depth = depth;
		this.choices = choices;
	}

	@Override
	public RoutingCandidate select(PrefixKey prefix, List<RoutingCandidate> candidates) {
		long hash = (prefix.isEmpty()) ? 0 : prefix.prefixHash(this.depth);
		record Ranked(RoutingCandidate candidate, long weight) {
		}
		return candidates.stream()
			.map((candidate) -> new Ranked(candidate, PrefixAffinityPolicy.weight(hash, candidate.server())))
			.sorted(Comparator.comparingLong(Ranked::weight).reversed())
			.limit(this.choices)
			.map(Ranked::candidate)
			.min(Comparator.comparingInt(RoutingCandidate::load))
			.orElseThrow();
	}

}
