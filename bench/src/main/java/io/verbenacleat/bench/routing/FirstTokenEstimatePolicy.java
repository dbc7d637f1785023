package io.verbenacleat.bench.routing;

import java.util.List;
import java.util.function.BiFunction;

import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.entry.routing.RoutingCandidate;
import io.verbenacleat.entry.routing.RoutingPolicy;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the server with the lowest estimated time to first token: the time in which the
 * engine processes the blocks that are not cached, plus a fixed time for each order in
 * progress. Not safe for use by several threads.
 */
final class FirstTokenEstimatePolicy implements RoutingPolicy {

	private final BiFunction<PrefixKey, Integer, int[]> cachedBlocks;

	private final int servers;

	private final double perOrderUs;

	private final UniformRandomProvider random;

	FirstTokenEstimatePolicy(BiFunction<PrefixKey, Integer, int[]> cachedBlocks, int servers, double perOrderUs,
			UniformRandomProvider random) {
		this.cachedBlocks = cachedBlocks;
		this.servers = servers;
		this.perOrderUs = perOrderUs;
		this.random = random;
	}

	@Override
	public RoutingCandidate select(PrefixKey prefix, List<RoutingCandidate> candidates) {
		int[] cached = this.cachedBlocks.apply(prefix, this.servers);
		int offset = this.random.nextInt(candidates.size());
		RoutingCandidate best = candidates.get(offset);
		double bestUs = Double.MAX_VALUE;
		for (int i = 0; i < candidates.size(); i++) {
			RoutingCandidate candidate = candidates.get((i + offset) % candidates.size());
			int missing = prefix.size() - cached[ServerNames.index(candidate.server())];
			double estimateUs = missing * PromptGenerator.BLOCK_TOKENS * FakeEngine.PROMPT_TOKEN_US
					+ candidate.load() * this.perOrderUs;
			if (estimateUs < bestUs) {
				best = candidate;
				bestUs = estimateUs;
			}
		}
		return best;
	}

}
