package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that routers together keep the request rates that backend servers name.
 */
public class ServerLimitFleetTests {

	private static final double[] LIMITS_PER_S = { 0, 0.4, 2.1, 9.5, 40 };

	private static final double REQUESTS_PER_S = 80;

	/** All routers of a new fleet have a position after this time. */
	private static final Duration START_TIME = Duration.ofSeconds(16);

	private static final Duration LOST_ROUTERS_EXPIRE = Duration.ofSeconds(45);

	@DataProvider
	public Object[][] fleetSizes() {
		return new Object[][] { { 1 }, { 4 }, { 33 }, { 120 } };
	}

	@Test(dataProvider = "fleetSizes")
	public void routersTogetherKeepAndUseTheLimitOfEachServer(int routers) {
		ServerLimitFleet fleet = limitedFleet(routers, 1);
		List<Integer> before = fleet.servers.stream().map((server) -> server.served).toList();
		fleet.run(Duration.ofSeconds(60), REQUESTS_PER_S);
		assertEquals(fleet.excessRequests(), 0);
		for (int i = 0; i < LIMITS_PER_S.length; i++) {
			double served = (fleet.servers.get(i).served - before.get(i)) / 60.0;
			assertTrue(served >= 0.8 * LIMITS_PER_S[i],
					"limit " + LIMITS_PER_S[i] + ", served " + served + " per second");
		}
	}

	@Test(dataProvider = "fleetSizes")
	public void restartsKeepTheLimit(int routers) {
		ServerLimitFleet fleet = limitedFleet(routers, 2);
		for (int i = 0; i < 12; i++) {
			fleet.routers.get(fleet.random.nextInt(routers)).restart();
			fleet.run(Duration.ofSeconds(2), REQUESTS_PER_S);
		}
		fleet.routers.forEach(ServerLimitFleet.Router::restart);
		fleet.run(Duration.ofSeconds(12), REQUESTS_PER_S);
		assertEquals(fleet.excessRequests(), 0);
	}

	@Test(dataProvider = "fleetSizes")
	public void aFleetThatDoublesKeepsTheLimit(int routers) {
		ServerLimitFleet fleet = limitedFleet(routers, 3);
		fleet.addRouters(routers);
		fleet.run(Duration.ofSeconds(30), REQUESTS_PER_S);
		assertEquals(fleet.excessRequests(), 0);
	}

	@Test(dataProvider = "fleetSizes")
	public void lostRoutersLeaveTheirShareToTheOthers(int routers) {
		ServerLimitFleet fleet = limitedFleet(2 * routers, 4);
		fleet.routers.subList(0, routers).forEach(ServerLimitFleet.Router::kill);
		fleet.run(LOST_ROUTERS_EXPIRE, REQUESTS_PER_S);
		ServerLimitFleet.Server server = fleet.servers.get(4);
		int before = server.served;
		fleet.run(Duration.ofSeconds(20), REQUESTS_PER_S);
		assertEquals(fleet.excessRequests(), 0);
		assertTrue(server.served - before >= 0.8 * LIMITS_PER_S[4] * 20, (server.served - before) + " served");
	}

	// The others no longer count routers that were down for so long.
	@Test(dataProvider = "fleetSizes")
	public void routersThatReturnAfterALongTimeKeepTheLimit(int routers) {
		ServerLimitFleet fleet = limitedFleet(2 * routers, 8);
		List<ServerLimitFleet.Router> lost = fleet.routers.subList(0, routers);
		lost.forEach(ServerLimitFleet.Router::kill);
		fleet.run(LOST_ROUTERS_EXPIRE, REQUESTS_PER_S);
		lost.forEach(ServerLimitFleet.Router::start);
		fleet.run(Duration.ofSeconds(20), REQUESTS_PER_S);
		assertEquals(fleet.excessRequests(), 0);
	}

	@Test(dataProvider = "fleetSizes")
	public void aLoweredLimitAppliesAtOnce(int routers) {
		ServerLimitFleet fleet = limitedFleet(routers, 5);
		fleet.servers.get(4).setLimit(4);
		fleet.servers.get(3).setLimit(1);
		fleet.run(Duration.ofSeconds(30), REQUESTS_PER_S);
		assertEquals(fleet.excessRequests(), 0);
	}

	@Test(dataProvider = "fleetSizes")
	public void aRaisedOrWithdrawnLimitIsUsed(int routers) {
		ServerLimitFleet fleet = limitedFleet(routers, 6);
		fleet.servers.get(3).setLimit(30);
		fleet.servers.get(4).withdrawLimit();
		// Each router learns of the change with a permit under the old limit.
		fleet.run(Duration.ofSeconds(15 + 2 * routers / 9), REQUESTS_PER_S);
		int raisedBefore = fleet.servers.get(3).served;
		int withdrawnBefore = fleet.servers.get(4).served;
		fleet.run(Duration.ofSeconds(10), REQUESTS_PER_S);
		assertEquals(fleet.excessRequests(), 0);
		assertTrue(fleet.servers.get(3).served - raisedBefore >= 0.8 * 30 * 10);
		assertTrue(fleet.servers.get(4).served - withdrawnBefore >= 0.1 * routers * REQUESTS_PER_S * 10);
	}

	@Test(dataProvider = "fleetSizes")
	public void anOutageOfTheStoreChangesNothing(int routers) {
		ServerLimitFleet fleet = limitedFleet(routers, 7);
		fleet.routers.forEach((router) -> router.store.setFault(FaultyStore.Fault.UNREACHABLE));
		int before = fleet.servers.get(4).served;
		fleet.run(Duration.ofSeconds(60), REQUESTS_PER_S);
		fleet.routers.forEach((router) -> router.store.setFault(FaultyStore.Fault.NONE));
		fleet.run(Duration.ofSeconds(20), REQUESTS_PER_S);
		assertEquals(fleet.excessRequests(), 0);
		assertTrue(fleet.servers.get(4).served - before >= 0.8 * LIMITS_PER_S[4] * 80);
	}

	// Guards against changes that are safe by themselves but exceed a limit together.
	@Property(tries = 60, seed = "20261204")
	void limitsAreKeptUnderRandomChanges(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		ServerLimitFleet fleet = limitedFleet(2 + (int) (seed % 12), seed);
		for (int i = 0; i < 25; i++) {
			ServerLimitFleet.Router router = fleet.routers.get(fleet.random.nextInt(fleet.routers.size()));
			ServerLimitFleet.Server server = fleet.servers.get(fleet.random.nextInt(fleet.servers.size()));
			switch (fleet.random.nextInt(7)) {
				case 0 -> router.restart();
				case 1 -> router.kill();
				case 2 -> fleet.addRouters(1);
				case 3 -> server.setLimit(LIMITS_PER_S[fleet.random.nextInt(LIMITS_PER_S.length)]);
				case 4 -> server.withdrawLimit();
				case 5 -> router.store.setFault(FaultyStore.Fault.UNREACHABLE);
				default -> router.store.setFault(FaultyStore.Fault.NONE);
			}
			fleet.run(Duration.ofMillis(200 + fleet.random.nextInt(3_000)), REQUESTS_PER_S);
		}
		assertEquals(fleet.excessRequests(), 0);
	}

	// All servers limit requests, and the demand is above all limits together.
	private static ServerLimitFleet limitedFleet(int routers, long seed) {
		ServerLimitFleet fleet = new ServerLimitFleet(routers, LIMITS_PER_S.length, seed);
		fleet.run(START_TIME, REQUESTS_PER_S);
		for (int i = 0; i < LIMITS_PER_S.length; i++) {
			fleet.servers.get(i).setLimit(LIMITS_PER_S[i]);
		}
		fleet.run(Duration.ofSeconds(10), REQUESTS_PER_S);
		return fleet;
	}

}
