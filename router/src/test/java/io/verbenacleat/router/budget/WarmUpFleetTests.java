package io.verbenacleat.router.budget;

import java.time.Duration;

import io.verbenacleat.router.balance.WarmUpLimit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that all routers together keep the requests to a server that warms up within the
 * bound of each second.
 */
public class WarmUpFleetTests {

	private static final double TOLERATED_PER_S = 12;

	private static final int MAX_IN_A_SECOND = 23;

	private static final WarmUpLimit LIMIT = new WarmUpLimit(6_000, TOLERATED_PER_S, MAX_IN_A_SECOND);

	private static final int SERVERS = 3;

	private static final double REQUESTS_PER_S = 80;

	private static final long LONG_WARM_UP_MS = 600_000;

	/** A router that has this rate uses all of its permits at once. */
	private static final double BURST_PER_S = 100;

	/** All routers of a new fleet have a position after this time. */
	private static final Duration START_TIME = Duration.ofSeconds(18);

	@DataProvider
	public Object[][] fleetSizes() {
		return new Object[][] { { 1 }, { 4 }, { 24 }, { 33 } };
	}

	// Guards against more requests than servers stand, and against permits that nobody
	// uses when all servers warm up at the same time.
	@Test(dataProvider = "fleetSizes")
	public void theBoundIsKeptAndTheToleratedRateIsUsed(int routers) {
		WarmUpFleet fleet = warmingUpFleet(routers, 1);
		int[] before = fleet.servers.stream().mapToInt((server) -> server.served).toArray();
		fleet.run(Duration.ofSeconds(60), REQUESTS_PER_S);
		assertBoundKept(fleet);
		// A share of the permits is kept for routers that disagree about their owners.
		assertTrue(fleet.maxRequestsInASecond() <= Math.ceil(1.5 * TOLERATED_PER_S));
		for (int i = 0; i < SERVERS; i++) {
			double servedPerS = (fleet.servers.get(i).served - before[i]) / 60.0;
			assertTrue(servedPerS >= 0.8 * TOLERATED_PER_S, "server " + i + ": " + servedPerS + " per second");
		}
	}

	// Guards against permits that all routers save while they have no requests, and then
	// use together with the next ones.
	@Test(dataProvider = "fleetSizes")
	public void requestsThatComeInBurstsKeepTheBound(int routers) {
		WarmUpFleet fleet = warmingUpFleet(routers, 11);
		runInBursts(fleet, 20);
		assertBoundKept(fleet);
		assertTrue(fleet.maxRequestsInASecond() > 1.3 * TOLERATED_PER_S, "saved permits are not used");
	}

	// Guards against a server that is flooded before its registration says that it warms
	// up, since some servers don't say it.
	@Test(dataProvider = "fleetSizes")
	public void aNewIncarnationWarmsUpWithoutAStatement(int routers) {
		WarmUpFleet fleet = startedFleet(routers, 2);
		for (int i = 0; i < 4; i++) {
			fleet.servers.forEach((server) -> server.restart(LIMIT.startMs(), false));
			fleet.run(Duration.ofSeconds(10), REQUESTS_PER_S);
		}
		assertBoundKept(fleet);
	}

	// Guards against processes that use the permits of their predecessor once more.
	@Test(dataProvider = "fleetSizes")
	public void restartsKeepTheBound(int routers) {
		WarmUpFleet fleet = warmingUpFleet(routers, 3);
		for (int i = 0; i < 12; i++) {
			fleet.routers.get(fleet.random.nextInt(routers)).restart();
			fleet.run(Duration.ofMillis(700), REQUESTS_PER_S);
		}
		fleet.routers.forEach(WarmUpFleet.Router::restart);
		fleet.run(Duration.ofSeconds(20), REQUESTS_PER_S);
		assertBoundKept(fleet);
	}

	// Guards against routers that share permits among different numbers of routers while
	// others join.
	@Test(dataProvider = "fleetSizes")
	public void aFleetThatDoublesKeepsTheBound(int routers) {
		WarmUpFleet fleet = warmingUpFleet(routers, 4);
		fleet.addRouters(routers);
		runInBursts(fleet, 15);
		assertBoundKept(fleet);
	}

	// Guards against permits that go to other routers while their owner, which cannot
	// reach the store, still uses them.
	@Test(dataProvider = "fleetSizes")
	public void routersThatAreCutOffForLongKeepTheBound(int routers) {
		WarmUpFleet fleet = warmingUpFleet(routers, 5);
		fleet.routers.subList(0, (routers + 1) / 2).forEach((router) -> router.setCutOff(true));
		runInBursts(fleet, 30);
		fleet.routers.forEach((router) -> router.setCutOff(false));
		runInBursts(fleet, 10);
		assertBoundKept(fleet);
	}

	// Guards against routers that stop, or lose count, during the partitions of 8 s that
	// occur twice a day.
	@Test(dataProvider = "fleetSizes")
	public void aPartitionOfTheWholeFleetChangesNothing(int routers) {
		WarmUpFleet fleet = warmingUpFleet(routers, 6);
		int before = fleet.servers.stream().mapToInt((server) -> server.served).sum();
		fleet.routers.forEach((router) -> router.setCutOff(true));
		fleet.run(Duration.ofSeconds(8), REQUESTS_PER_S);
		int served = fleet.servers.stream().mapToInt((server) -> server.served).sum() - before;
		fleet.routers.forEach((router) -> router.setCutOff(false));
		fleet.run(Duration.ofSeconds(12), REQUESTS_PER_S);
		assertBoundKept(fleet);
		assertTrue(served >= 0.7 * TOLERATED_PER_S * SERVERS * 8, served + " served");
	}

	// Guards against links that hold requests back and deliver those of many permits
	// together.
	@Test(dataProvider = "fleetSizes")
	public void linksThatHoldRequestsBackKeepTheBound(int routers) {
		WarmUpFleet fleet = warmingUpFleet(routers, 7);
		for (int i = 0; i < 30; i++) {
			boolean isHeld = i % 2 == 0;
			fleet.routers.forEach((router) -> router.holdLink(isHeld));
			fleet.run(Duration.ofMillis(100 + fleet.random.nextInt(1_500)), REQUESTS_PER_S);
		}
		assertBoundKept(fleet);
	}

	// Guards against permits of a time that was skipped, which are used at once.
	@Test(dataProvider = "fleetSizes")
	public void aStoreThatReturnsWithAnotherTimeKeepsTheBound(int routers) {
		WarmUpFleet fleet = warmingUpFleet(routers, 8);
		for (long jumpMs : new long[] { 700, 5_000, -700, -20_000, 3_600_000 }) {
			for (boolean atOnce : new boolean[] { true, false }) {
				fleet.run(Duration.ofSeconds(9), 0);
				fleet.run(Duration.ofMillis(500), BURST_PER_S);
				fleet.jumpStoreClock(jumpMs, atOnce);
				fleet.run(Duration.ofMillis(2_500), BURST_PER_S);
			}
		}
		assertBoundKept(fleet);
	}

	// Guards against a stale registration that ends a warm-up which has just begun.
	@Test(dataProvider = "fleetSizes")
	public void aServerThatWarmsUpAgainIsSparedOnceItsRegistrationArrived(int routers) {
		WarmUpFleet fleet = startedFleet(routers, 9);
		for (int i = 0; i < 5; i++) {
			fleet.servers.get(i % SERVERS).warmUpAgain(8_000);
			fleet.run(Duration.ofSeconds(7), 10);
		}
		assertBoundKept(fleet);
	}

	// Guards against limits that last, and against routers that refuse although a warm
	// server has room.
	@Test(dataProvider = "fleetSizes")
	public void nothingIsRefusedWhileAServerIsWarmAndAfterTheWarmUp(int routers) {
		WarmUpFleet fleet = startedFleet(routers, 10);
		int refusedBefore = refused(fleet);
		fleet.servers.subList(1, SERVERS).forEach((server) -> server.restart(5_000, true));
		fleet.run(Duration.ofSeconds(10), 2);
		int before = fleet.servers.get(1).served;
		fleet.run(Duration.ofSeconds(5), 20);
		assertEquals(refused(fleet), refusedBefore);
		assertTrue(fleet.servers.get(1).served - before >= 0.2 * 20 * 5 * routers);
		assertBoundKept(fleet);
	}

	// Guards against changes that are safe by themselves but exceed the bound together.
	@Property(tries = 40, seed = "20261206")
	void theBoundIsKeptUnderRandomChanges(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		WarmUpFleet fleet = warmingUpFleet(2 + (int) (seed % 12), seed);
		for (int i = 0; i < 25; i++) {
			WarmUpFleet.Router router = fleet.routers.get(fleet.random.nextInt(fleet.routers.size()));
			switch (fleet.random.nextInt(8)) {
				case 0 -> router.restart();
				case 1 -> router.kill();
				case 2 -> fleet.addRouters(1);
				case 3 -> router.setCutOff(true);
				case 4 -> router.holdLink(true);
				case 5 -> router.holdLink(false);
				case 6 -> fleet.servers.get(0).restart(LONG_WARM_UP_MS, true);
				default -> router.setCutOff(false);
			}
			fleet.run(Duration.ofMillis(200 + fleet.random.nextInt(3_000)), REQUESTS_PER_S);
		}
		assertBoundKept(fleet);
	}

	private static void runInBursts(WarmUpFleet fleet, int bursts) {
		for (int i = 0; i < bursts; i++) {
			fleet.run(Duration.ofMillis(600 + fleet.random.nextInt(600)), 0);
			fleet.run(Duration.ofMillis(1_100), BURST_PER_S);
		}
	}

	private static int refused(WarmUpFleet fleet) {
		return fleet.routers.stream().mapToInt(WarmUpFleet.Router::refused).sum();
	}

	private static void assertBoundKept(WarmUpFleet fleet) {
		int found = fleet.maxRequestsInASecond();
		assertTrue(found <= MAX_IN_A_SECOND, found + " requests in a second");
	}

	private static WarmUpFleet startedFleet(int routers, long seed) {
		WarmUpFleet fleet = new WarmUpFleet(routers, SERVERS, LIMIT, seed);
		fleet.run(START_TIME, 1);
		return fleet;
	}

	// All servers warm up, and the demand is above what they tolerate.
	private static WarmUpFleet warmingUpFleet(int routers, long seed) {
		WarmUpFleet fleet = startedFleet(routers, seed);
		fleet.servers.forEach((server) -> server.restart(LONG_WARM_UP_MS, true));
		fleet.run(Duration.ofSeconds(5), REQUESTS_PER_S);
		return fleet;
	}

}
