package io.verbenacleat.bench.routing;

import java.util.List;
import java.util.Objects;

import io.verbenacleat.entry.routing.PrefixKey;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that the experiment shows the difference between policies, and that runs with the
 * same seed are reproducible.
 */
public class RoutingRunTests {

	private static final RoutingCase CASE = new RoutingCase("test", 0.1, true, true);

	private static RoutingStatistics run(String policy) {
		List<PromptRequest> requests = new PromptGenerator(3).generate(60, RoutingRun.DURATION_US, RoutingRun.ENTRIES);
		PolicyFactory factory = Objects.requireNonNull(Policies.all().get(policy));
		return new RoutingRun(CASE, factory, 3).run(requests);
	}

	@Test
	public void runsAreReproducibleAndAffinityRaisesCacheHits() {
		RoutingStatistics first = run("affinity-1-1.25");
		assertEquals(run("affinity-1-1.25").csvLine("test", "same"), first.csvLine("test", "same"));
		assertTrue(first.hitPercent() > run("random").hitPercent());
	}

	@Test
	public void evictsLastBlocksOfPrefixFirst() {
		PrefixCache cache = new PrefixCache(2, SentPrefixes.NO_LISTENER);
		cache.add(PrefixKey.of(1, 2, 3));
		assertEquals(cache.use(PrefixKey.of(1, 2, 3)), 2);
	}

}
