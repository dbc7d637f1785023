package io.verbenacleat.router.peer;

import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Fleets of 22 routers in virtual time, each of which sends a request every 10 ms. The
 * bound is that of the operator: 5 s after the store has acknowledged a write.
 */
public class EvacuationFleetTests {

	private static final int ROUTERS = 22;

	private static final long BOUND_MS = 5_000;

	private static final int SEEDS = 5;

	/**
	 * A router without the store asks after 2.2 s; a change that is passed on has to be
	 * everywhere before that, so that calls may get lost within the bound.
	 */
	private static final long PASS_ON_MS = 2_200;

	/** A call takes 2 ms, and a router sends every 10 ms. */
	private static final long FIRST_CALL_MS = 20;

	// Guards against routers that lose the store before an evacuation and go on sending
	// to the zone, when a single router still reaches the store and calls get lost.
	@Test
	public void routersWithoutTheStoreLearnOfAnEvacuation() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			EvacuationFleet fleet = new EvacuationFleet(ROUTERS, seed);
			fleet.setLossRate(0.3);
			fleet.run(3_000);
			fleet.routers().forEach((router) -> router.setStoreReachable(false));
			fleet.router(0).setStoreReachable(true);
			long writtenAtMs = fleet.write("a");
			fleet.run(8_000);
			assertTrue(fleet.lastSendMs("a") <= writtenAtMs + BOUND_MS, "last send " + fleet.lastSendMs("a"));
			long removedAtMs = fleet.remove("a");
			fleet.run(BOUND_MS);
			assertEquals(fleet.sendersSince("a", removedAtMs), ROUTERS, "seed " + seed);
		}
	}

	// Guards against a large fleet in which only one router reaches the store, so that
	// few
	// of the others ask the right one in time.
	@Test
	public void aLargeFleetPassesAnEvacuationOn() {
		EvacuationFleet fleet = new EvacuationFleet(240, 6);
		fleet.run(3_000);
		fleet.routers().stream().skip(1).forEach((router) -> router.setStoreReachable(false));
		long writtenAtMs = fleet.write("a");
		fleet.run(6_000);
		assertTrue(fleet.lastSendMs("a") <= writtenAtMs + PASS_ON_MS, "last send " + fleet.lastSendMs("a"));
	}

	// Guards against a zone that is used again because all routers lose the store and
	// each
	// other, and one of them starts anew and gets its servers from a router that missed
	// the evacuation.
	@Test
	public void aRouterThatStartsInACutAsksSeveralBeforeItSends() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			EvacuationFleet fleet = new EvacuationFleet(ROUTERS, seed);
			fleet.run(3_000);
			long writtenAtMs = fleet.write("a");
			fleet.run(1_000);
			fleet.routers().forEach((router) -> router.setStoreReachable(false));
			fleet.setLossRate(1);
			fleet.run(8_000);
			assertTrue(fleet.lastSendMs("a") <= writtenAtMs + BOUND_MS);
			fleet.setLossRate(0);
			fleet.routers().stream().limit(ROUTERS - 2).forEach(EvacuationFleet.Router::forgetEvacuations);
			long startedAtMs = fleet.restart(ROUTERS - 1);
			fleet.router(ROUTERS - 1).setStoreReachable(false);
			fleet.run(2_000);
			assertTrue(fleet.router(ROUTERS - 1).hasServers(), "the router has no servers");
			assertEquals(fleet.router(ROUTERS - 1).sendsSince("a", startedAtMs), 0, "seed " + seed);
		}
	}

	// Guards against an update of the program during which older routers, which know no
	// evacuations, hide them from a router that starts without the store.
	@Test
	public void olderRoutersHideNoEvacuation() {
		EvacuationFleet fleet = new EvacuationFleet(ROUTERS, 7);
		fleet.routers().stream().skip(2).limit(ROUTERS / 2).forEach(EvacuationFleet.Router::setOlder);
		fleet.run(3_000);
		fleet.write("a");
		fleet.run(1_000);
		fleet.router(0).setStoreReachable(false);
		long startedAtMs = fleet.restart(0);
		fleet.router(0).setStoreReachable(false);
		fleet.run(3_000);
		assertTrue(fleet.router(0).hasServers(), "the router has no servers");
		assertEquals(fleet.router(0).sendsSince("a", startedAtMs), 0);
	}

	// Guards against a zone that is used again because the store came back from a copy
	// without its row, also at a router that missed the evacuation and one that starts
	// after the restore.
	@Test
	public void aStoreFromACopyBringsNoZoneBack() {
		EvacuationFleet fleet = new EvacuationFleet(ROUTERS, 8);
		fleet.run(3_000);
		fleet.copyStore();
		long writtenAtMs = fleet.write("a");
		fleet.run(1_000);
		fleet.routers().forEach((router) -> router.setStoreReachable(false));
		fleet.run(3_000);
		fleet.restoreStore();
		fleet.routers().forEach((router) -> router.setStoreReachable(true));
		fleet.run(1_000);
		assertTrue(fleet.lastSendMs("a") <= writtenAtMs + BOUND_MS, "last send " + fleet.lastSendMs("a"));
		long startedAtMs = fleet.restart(3);
		fleet.run(8_000);
		// The store tells the new router nothing, and the others answer its first call.
		assertTrue(fleet.lastSendMs("a") <= startedAtMs + FIRST_CALL_MS, "last send " + fleet.lastSendMs("a"));
		fleet.write("a");
		fleet.run(1_000);
		long removedAtMs = fleet.remove("a");
		fleet.run(BOUND_MS);
		assertEquals(fleet.sendersSince("a", removedAtMs), ROUTERS);
	}

	// Guards against requests that go to an evacuated zone because no other one is left.
	@Test
	public void nothingIsSentWhenAllZonesAreEvacuated() {
		EvacuationFleet fleet = new EvacuationFleet(ROUTERS, 9);
		fleet.run(3_000);
		long writtenAtMs = EvacuationFleet.ZONES.stream().mapToLong(fleet::write).max().orElseThrow();
		fleet.run(8_000);
		for (String zone : EvacuationFleet.ZONES) {
			assertTrue(fleet.lastSendMs(zone) <= writtenAtMs + BOUND_MS);
		}
		assertTrue(fleet.routers().stream().allMatch(EvacuationFleet.Router::refusesForEvacuation));
		long removedAtMs = fleet.remove("b");
		fleet.run(BOUND_MS);
		assertEquals(fleet.sendersSince("b", removedAtMs), ROUTERS);
		assertEquals(Set.copyOf(List.of(fleet.sendersSince("a", removedAtMs), fleet.sendersSince("c", removedAtMs))),
				Set.of(0));
	}

	// Guards against calls between routers in deployments without evacuations.
	@Test
	public void noCallsAreMadeWithoutEvacuations() {
		EvacuationFleet fleet = new EvacuationFleet(ROUTERS, 10);
		fleet.run(20_000);
		assertEquals(fleet.callCount(), 0);
	}

}
