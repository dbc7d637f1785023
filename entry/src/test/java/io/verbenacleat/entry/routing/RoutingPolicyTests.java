package io.verbenacleat.entry.routing;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against entries that rank servers differently, popular prefixes that stay on an
 * overloaded server, and loads that count an order twice.
 */
public class RoutingPolicyTests {

	private static final PrefixKey KEY = PrefixKey.of(11, 12);

	private final RoutingPolicy policy = new PrefixAffinityPolicy(1, 1.25, new LeastLoadedPolicy(() -> 0));

	private static List<RoutingCandidate> servers(int number) {
		List<RoutingCandidate> servers = new ArrayList<>();
		for (int i = 0; i < number; i++) {
			servers.add(new RoutingCandidate("engine-" + i, 0));
		}
		return servers;
	}

	@Test
	public void prefixStaysOnItsServerUntilTheLoadBound() {
		List<RoutingCandidate> servers = servers(10);
		RoutingCandidate first = this.policy.select(KEY, servers);
		assertEquals(this.policy.select(PrefixKey.of(11, 99), servers), first);
		List<RoutingCandidate> others = new ArrayList<>(servers);
		others.remove(first);
		RoutingCandidate second = this.policy.select(KEY, others);
		others.add(new RoutingCandidate(first.server(), 5));
		assertEquals(this.policy.select(KEY, others), second);
		assertNotEquals(second, first);
	}

	@Test
	public void requestWithoutPromptGoesToTheLeastLoaded() {
		List<RoutingCandidate> servers = List.of(new RoutingCandidate("a", 2), new RoutingCandidate("b", 1));
		assertEquals(this.policy.select(PrefixKey.NONE, servers).server(), "b");
	}

	@Test
	public void loadIsTheNewestReportAndTheOrdersSince() {
		AgentLoads loads = new AgentLoads();
		loads.orderStarted("a");
		assertEquals(loads.load("a"), 1);
		assertFalse(loads.hasRecentReport("a", 0, 2_000));
		loads.addReport("a", 7, 1_000);
		loads.orderStarted("a");
		assertEquals(loads.load("a"), 8);
		assertTrue(loads.hasRecentReport("a", 2_999, 2_000));
		assertFalse(loads.hasRecentReport("a", 3_000, 2_000));
		loads.orderEnded("a");
		loads.orderEnded("a");
		assertEquals(loads.load("a"), 7);
	}

}
