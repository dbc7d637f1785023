package io.verbenacleat.bench.routing;

import java.util.LinkedHashMap;
import java.util.Map;

import io.verbenacleat.entry.routing.LeastLoadedPolicy;
import io.verbenacleat.entry.routing.PrefixAffinityPolicy;
import io.verbenacleat.entry.routing.RoutingPolicy;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Creates the policies that the experiment compares. Stateless.
 */
final class Policies {

	static final String LEAST_LOADED = "least-loaded";

	/** The number of blocks that an entry records for each server. */
	private static final int SENT_BLOCKS_PER_SERVER = 500;

	/** Pairs of the prefix depth in blocks and the maximum load relative to the mean. */
	private static final double[][] AFFINITIES = { { 1, 1.25 }, { 4, 1.1 }, { 4, 1.25 }, { 8, 1.1 }, { 64, 1.25 } };

	private static final int CHOICES = 3;

	/** The time that each order in progress adds to the estimated time to first token. */
	private static final double PER_ORDER_US = 5_000;

	private Policies() {
	}

	static Map<String, PolicyFactory> all() {
		Map<String, PolicyFactory> all = new LinkedHashMap<>();
		PolicyFactory leastLoaded = PolicyFactory.of((directory, random) -> new LeastLoadedPolicy(random::nextInt));
		all.put("random", PolicyFactory
			.of((directory, random) -> (prefix, candidates) -> candidates.get(random.nextInt(candidates.size()))));
		all.put(LEAST_LOADED, leastLoaded);
		all.put("rounds-" + LEAST_LOADED, leastLoaded.withStatusPolling());
		all.put("two-choices", PolicyFactory.of((directory, random) -> new TwoChoicesPolicy(random)));
		for (double[] affinity : AFFINITIES) {
			String name = "affinity-" + (int) affinity[0] + "-" + affinity[1];
			all.put(name, affinity((int) affinity[0], affinity[1]));
		}
		all.put("rounds-affinity-4-1.1", affinity(4, 1.1).withStatusPolling());
		all.put("rounds-affinity-4-1.25", affinity(4, 1.25).withStatusPolling());
		all.put("ranked-1-" + CHOICES, PolicyFactory.of((directory, random) -> new RankedChoicesPolicy(1, CHOICES)));
		all.put("own-memory", PolicyFactory.of((directory, random) -> sentPrefixes(random)));
		all.put("directory",
				PolicyFactory
					.of((directory, random) -> new FirstTokenEstimatePolicy(directory::cachedBlocks, RoutingRun.SERVERS,
							PER_ORDER_US, random))
					.withDirectory());
		return all;
	}

	private static PolicyFactory affinity(int depth, double factor) {
		return PolicyFactory
			.of((directory, random) -> new PrefixAffinityPolicy(depth, factor, new LeastLoadedPolicy(random::nextInt)));
	}

	private static RoutingPolicy sentPrefixes(UniformRandomProvider random) {
		SentPrefixes sent = new SentPrefixes(RoutingRun.SERVERS, SENT_BLOCKS_PER_SERVER);
		return sent.recordingSelections(
				new FirstTokenEstimatePolicy(sent::cachedBlocks, RoutingRun.SERVERS, PER_ORDER_US, random));
	}

}
