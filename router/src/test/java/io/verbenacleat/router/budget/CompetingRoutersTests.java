package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests fleets whose routers change the rows of many workspaces at the same time, with
 * writes that take longer than the time between two changes of a row.
 */
public class CompetingRoutersTests {

	private static final String KNOWN_RED = "known-red";

	private static final int ROUTERS = 22;

	private static final int SHARED_WORKSPACES = 12;

	private static final long ALLOWANCE = 3_000_000;

	private static final String LARGE = "large";

	private static final int TOKENS = 2_000;

	private static final int LARGE_REQUEST_TOKENS = 10_000;

	/**
	 * The headroom of limits is lost, and remainders of routers are smaller than a
	 * request.
	 */
	private static final double MIN_RELEASED_FRACTION = 0.7;

	private static final Duration STEP = Duration.ofMillis(50);

	/** Processing and transfer on a small host, in one direction. */
	private static final Duration WRITE_DELAY = Duration.ofMillis(15);

	/** Refusals of requests that the workspace has tokens for. */
	private static final double MAX_REFUSED_FRACTION = 0.01;

	private static final double MAX_REFUSED_IN_CUT_FRACTION = 0.05;

	// Requests of a dozen workspaces reach all routers, those of a large one reach one
	// router. Guards against transactions that fail as a whole because one of their rows
	// was changed by another router: the large workspace then gets no tokens although
	// nobody else uses its row.
	@Test
	public void aRowOfOneRouterIsWrittenBesideContendedRows() {
		LedgerFleet fleet = fleet();
		load(fleet, new Random(20261206), 60);
		assertEquals(refused(fleet), 0, "requests that wait at the end: " + fleet.served);
		assertTrue(largeServed(fleet) >= 60, "served of the large workspace: " + largeServed(fleet));
	}

	// The same load, with routers that know each other. Guards against waiting requests
	// while the tokens lie in the pool, and against more writes with more routers.
	@Test
	public void aPrimaryRouterServesTheOthersWithoutConflicts() {
		LedgerFleet fleet = fleet();
		fleet.introduceRouters(1);
		fleet.advance(Duration.ofSeconds(2));
		load(fleet, new Random(20261206), 100);
		assertTrue(refused(fleet) <= MAX_REFUSED_FRACTION * fleet.served, refused(fleet) + " refused");
		assertTrue(fleet.usedTokens <= fleet.allowance * fleet.workspaces.size());
	}

	// All routers lose the store and each other for 8 s after 10 s of load. Guards
	// against
	// tokens that stay in the pool or at the primary router instead of where they are
	// needed.
	@Test
	public void heldTokensLastThroughAPartition() {
		LedgerFleet fleet = fleet();
		fleet.introduceRouters(1);
		fleet.advance(Duration.ofSeconds(2));
		Random random = new Random(20261206);
		load(fleet, random, 200);
		long served = fleet.served;
		long refused = refused(fleet);
		fleet.peerFault = LedgerFleet.PeerFault.UNREACHABLE;
		fleet.routers.forEach((router) -> router.store.setFault(FaultyStore.Fault.UNREACHABLE));
		load(fleet, random, 160);
		long servedInCut = fleet.served - served;
		long refusedInCut = refused(fleet) - refused;
		assertTrue(refusedInCut <= MAX_REFUSED_IN_CUT_FRACTION * (servedInCut + refusedInCut),
				refusedInCut + " refused, " + servedInCut + " served");
		assertTrue(fleet.usedTokens <= fleet.allowance * fleet.workspaces.size());
	}

	// The primary router of every workspace is lost. Guards against routers that wait for
	// one that does not respond.
	@Test
	public void routersTakeTokensThemselvesWhenThePrimaryRouterIsLost() {
		LedgerFleet fleet = fleet();
		fleet.introduceRouters(1);
		PrimaryRouters primaries = new PrimaryRouters("");
		List<FleetRouter> known = fleet.routers.stream()
			.map((router) -> new FleetRouter(router.address, router.address, 1))
			.toList();
		primaries.update(known);
		fleet.advance(Duration.ofSeconds(2));
		fleet.workspaces.forEach((workspace) -> primaries.lender(workspace, 0)
			.ifPresent((primary) -> fleet.routers.stream()
				.filter((router) -> router.address.equals(primary.address()))
				.forEach(LedgerFleet.Router::kill)));
		load(fleet, new Random(20261206), 100);
		assertTrue(refused(fleet) <= MAX_REFUSED_IN_CUT_FRACTION * fleet.served, refused(fleet) + " refused");
	}

	// All routers are killed and restarted together within the time in which their limits
	// hold. Guards against a release of unspent tokens that conflicts again and again,
	// since
	// the transaction of each router contains the rows of all workspaces.
	@Test(groups = KNOWN_RED)
	public void unspentTokensAreReleasedSoonAfterAllRoutersRestart() {
		LedgerFleet fleet = fleet();
		fleet.introduceRouters(1);
		fleet.advance(Duration.ofSeconds(2));
		load(fleet, new Random(20261206), 100);
		fleet.routers.forEach(LedgerFleet.Router::kill);
		fleet.advance(Duration.ofSeconds(1));
		fleet.routers.forEach(LedgerFleet.Router::start);
		fleet.advance(Duration.ofSeconds(3));
		fleet.introduceRouters(1);
		long remaining = fleet.allowance * fleet.workspaces.size() - fleet.usedTokens;
		long usedBefore = fleet.usedTokens;
		for (int i = 0; i < 400 && refused(fleet) == 0; i++) {
			for (String name : fleet.workspaces) {
				fleet.routers.get(i % ROUTERS).request(name, LARGE_REQUEST_TOKENS);
			}
			fleet.advance(STEP);
		}
		long used = fleet.usedTokens - usedBefore;
		assertTrue(used >= MIN_RELEASED_FRACTION * remaining, used + " of " + remaining + " tokens were used");
		assertTrue(fleet.usedTokens <= fleet.allowance * fleet.workspaces.size());
	}

	private static LedgerFleet fleet() {
		LedgerFleet fleet = new LedgerFleet(ROUTERS, ALLOWANCE);
		fleet.peerFault = LedgerFleet.PeerFault.NONE;
		for (int i = 0; i < SHARED_WORKSPACES; i++) {
			fleet.workspaces.add("shared-" + i);
		}
		fleet.workspaces.add(LARGE);
		fleet.setAllowance(ALLOWANCE);
		fleet.writeDelay = WRITE_DELAY;
		return fleet;
	}

	private static void load(LedgerFleet fleet, Random random, int steps) {
		List<LedgerFleet.Router> alive = fleet.routers.stream().filter(LedgerFleet.Router::isAlive).toList();
		List<String> names = List.copyOf(fleet.workspaces);
		for (int i = 0; i < steps; i++) {
			alive.get(0).request(LARGE, TOKENS);
			for (String name : names) {
				if (!name.equals(LARGE)) {
					alive.get(random.nextInt(alive.size())).request(name, TOKENS);
				}
			}
			fleet.advance(STEP);
		}
	}

	private static long refused(LedgerFleet fleet) {
		return fleet.refusedTemporarily + fleet.refusedAsExhausted;
	}

	private static long largeServed(LedgerFleet fleet) {
		return fleet.routers.get(0).ledger().wallet(LARGE).committedTokens() / TOKENS;
	}

}
