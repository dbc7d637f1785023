package io.verbenacleat.bench.routing;

import java.util.List;

import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.entry.routing.RoutingCandidate;
import io.verbenacleat.entry.routing.RoutingPolicy;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the less loaded of two random candidates. Not safe for use by several threads.
 */
final class TwoChoicesPolicy implements RoutingPolicy {

	private final UniformRandomProvider random;

	TwoChoicesPolicy(UniformRandomProvider random) {
		this.random = random;
	}

	@Override
	public RoutingCandidate select(PrefixKey prefix, List<RoutingCandidate> candidates) {
		RoutingCandidate first = candidates.get(this.random.nextInt(candidates.size()));
		RoutingCandidate second = candidates.get(this.random.nextInt(candidates.size()));
		return (second.load() < first.load()) ? second : first;
	}

}
