package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TransactionLimits;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests fleets with more workspaces than fit in one transaction of the store, in virtual
 * time. The store rejects a transaction over its limits however often it is sent.
 */
public class ManyWorkspacesTests {

	private static final long ALLOWANCE = 1_000_000;

	private static final int TOKENS = 1_000;

	private static final Duration STEP = Duration.ofMillis(50);

	/** The time after a restart by which requests are served. */
	private static final Duration RECOVERY_TIME = Duration.ofSeconds(12);

	/** The time between SIGTERM and SIGKILL. */
	private static final Duration GRACE_PERIOD = Duration.ofSeconds(8);

	/** Processing and transfer, in one direction. */
	private static final Duration WRITE_DELAY = Duration.ofMillis(5);

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 1, 49 }, { 1, 50 }, { 3, 52 }, { 3, 240 }, { 1, 780 }, { 3, 780 }, { 22, 240 } };
	}

	// Guards against a takeover of so many workspaces that the store rejects it for ever:
	// the restarted routers then serve nothing.
	@Test(dataProvider = "fleets")
	public void restartedRoutersServeAllWorkspaces(int routers, int workspaces) throws JsonFormatException {
		LedgerFleet fleet = fleet(routers, workspaces);
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(2));
		fleet.routers.forEach(LedgerFleet.Router::kill);
		fleet.advance(Duration.ofMillis(1_400));
		fleet.routers.forEach(LedgerFleet.Router::start);
		assertServedSoon(fleet);
		assertReleased(fleet);
	}

	// Guards against a transaction of all workspaces of several configurations: each one
	// is below the limit, but the row of a router still names those that have left.
	@Test
	public void restartedRoutersServeAfterWorkspacesWereReplaced() {
		LedgerFleet fleet = fleet(3, 40);
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(2));
		Set<String> kept = new LinkedHashSet<>(List.copyOf(fleet.workspaces).subList(12, 40));
		fleet.workspaces.retainAll(kept);
		IntStream.range(0, 12).forEach((i) -> fleet.workspaces.add("new-" + i));
		fleet.setAllowance(ALLOWANCE);
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(2));
		fleet.routers.forEach(LedgerFleet.Router::kill);
		fleet.advance(Duration.ofMillis(1_400));
		fleet.routers.forEach(LedgerFleet.Router::start);
		assertServedSoon(fleet);
	}

	// Guards against a return of all tokens in one transaction, which the store rejects
	// until the process is killed.
	@Test(dataProvider = "fleets")
	public void aStoppingRouterReturnsTheTokensOfAllWorkspaces(int routers, int workspaces) {
		LedgerFleet fleet = fleet(routers, workspaces);
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(2));
		PrepaidLedger stopping = fleet.routers.get(0).ledger();
		CompletableFuture<Boolean> returned = stopping.returnAllTokens();
		fleet.advance(GRACE_PERIOD.dividedBy(2));
		assertTrue(returned.getNow(false));
		assertEquals(fleet.store.rejectedCount(), 0);
		fleet.workspaces.forEach((workspace) -> assertEquals(stopping.wallet(workspace).heldTokens(), 0, workspace));
	}

	// Guards against requests that wait for the tokens of a workspace because those of
	// too many others are taken in the same transaction.
	@Test(dataProvider = "fleets")
	public void firstRequestsOfAllWorkspacesAreServedTogether(int routers, int workspaces) {
		LedgerFleet fleet = fleet(routers, workspaces);
		long before = fleet.served;
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(4));
		assertEquals(fleet.served - before, (long) workspaces * routers);
		assertEquals(fleet.store.rejectedCount(), 0);
	}

	// The process ends after each part of a takeover in turn. Guards against tokens that
	// are released twice, and against a successor that does not go on where it ended.
	@Test
	public void aTakeoverThatEndsHalfwayIsContinued() throws JsonFormatException {
		for (int steps = 1; steps <= 8; steps++) {
			LedgerFleet fleet = fleet(1, 240);
			requestOnAllRouters(fleet);
			fleet.advance(Duration.ofSeconds(2));
			LedgerFleet.Router router = fleet.routers.get(0);
			router.kill();
			fleet.advance(Duration.ofMillis(200));
			fleet.writeDelay = STEP.dividedBy(2);
			router.start();
			IntStream.range(0, steps).forEach((step) -> fleet.advance(STEP));
			router.kill();
			fleet.advance(Duration.ofMillis(200));
			fleet.writeDelay = WRITE_DELAY;
			router.start();
			assertServedSoon(fleet);
			assertReleased(fleet);
		}
	}

	// Guards against tokens that a takeover in parts releases on the basis of a row that
	// the store has lost.
	@Test
	public void aTakeoverInPartsOnARestoredStoreCausesNoOverspending() {
		for (int steps = 1; steps <= 8; steps++) {
			LedgerFleet fleet = fleet(2, 120);
			fleet.peerFault = LedgerFleet.PeerFault.NONE;
			requestOnAllRouters(fleet);
			fleet.advance(Duration.ofSeconds(2));
			fleet.routers.get(0).kill();
			fleet.advance(Duration.ofMillis(200));
			fleet.writeDelay = STEP.dividedBy(2);
			fleet.routers.get(0).start();
			IntStream.range(0, steps).forEach((step) -> fleet.advance(STEP));
			fleet.store.restore(Duration.ofMillis(600));
			fleet.writeDelay = WRITE_DELAY;
			spendEverything(fleet);
			assertTrue(fleet.usedTokens <= fleet.allowance * fleet.workspaces.size(), "used " + fleet.usedTokens);
		}
	}

	// Guards against a router row that the store rejects because it is larger than a row
	// may be: the router then writes nothing any more.
	@Test
	public void limitsOfMoreWorkspacesThanFitInARowAreLeftOut() {
		LedgerFleet fleet = new LedgerFleet(1, ALLOWANCE);
		IntStream.range(0, 1_000).forEach((i) -> fleet.workspaces.add("a workspace with a rather long name " + i));
		fleet.setAllowance(ALLOWANCE);
		fleet.advance(Duration.ofSeconds(2));
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(2));
		fleet.routers.forEach(LedgerFleet.Router::kill);
		fleet.advance(Duration.ofMillis(1_400));
		fleet.routers.forEach(LedgerFleet.Router::start);
		assertServedSoon(fleet);
		spendEverything(fleet);
		assertTrue(fleet.usedTokens <= fleet.allowance * fleet.workspaces.size(), "used " + fleet.usedTokens);
	}

	// Guards against rows and accounts of workspaces that have left the configuration, of
	// which there are more with every change, and against their tokens at routers.
	@Test
	public void workspacesThatLeftAreForgotten() throws JsonFormatException {
		LedgerFleet fleet = fleet(2, 30);
		fleet.peerFault = LedgerFleet.PeerFault.NONE;
		fleet.introduceRouters(1);
		for (int generation = 0; generation < 5; generation++) {
			requestOnAllRouters(fleet);
			fleet.advance(Duration.ofSeconds(2));
			fleet.workspaces.clear();
			for (int i = 0; i < 30; i++) {
				fleet.workspaces.add("workspace-" + generation + "-" + i);
			}
			fleet.setAllowance(ALLOWANCE);
		}
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(3));
		for (Row row : fleet.store.scan(PrepaidLedger.ROUTER_PREFIX, "", 1_000).join()) {
			assertEquals(Json.read(row.json(), RouterRow.class).limits().keySet(), fleet.workspaces);
		}
		for (Row row : fleet.store.scan(PrepaidLedger.GRANT_PREFIX, "", 1_000).join()) {
			GrantRow grant = Json.read(row.json(), GrantRow.class);
			if (!fleet.workspaces.contains(row.key().substring(PrepaidLedger.GRANT_PREFIX.length()))) {
				assertTrue(grant.givenTokens() <= 2 * TOKENS, row.toString());
				grant.routers().values().forEach((holding) -> assertEquals(holding.unspentTokens(), 0));
			}
		}
	}

	// Guards against repairs after the return of an older copy that the store rejects for
	// ever, because they do not fit in one transaction.
	@Test
	public void theRowsOfAllWorkspacesAreRepaired() {
		LedgerFleet fleet = fleet(3, 240);
		fleet.peerFault = LedgerFleet.PeerFault.NONE;
		fleet.advance(Duration.ofSeconds(3));
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(3));
		fleet.store.restore(Duration.ofSeconds(5));
		assertServedSoon(fleet);
		spendEverything(fleet);
		assertTrue(fleet.usedTokens <= fleet.allowance * fleet.workspaces.size(), "used " + fleet.usedTokens);
	}

	// Guards against a call that is rejected for ever because of a bound that is not
	// stated.
	@Test
	public void smallerTransactionsAreTriedAfterARejection() {
		LedgerFleet fleet = fleet(2, 120);
		fleet.store.setEnforcedLimits(new TransactionLimits(20, 30_000, 65_536, 200));
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(6));
		long before = fleet.served;
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(2));
		assertEquals(fleet.served - before, 240);
	}

	// Guards against a router that writes a row at a time for good, because the store has
	// rejected its calls for some time.
	@Test
	public void wholeTransactionsAreWrittenAgainAfterAMinute() {
		LedgerFleet fleet = fleet(1, 90);
		fleet.store.setEnforcedLimits(new TransactionLimits(1, 1, 1, 1));
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(5));
		assertEquals(fleet.served, 0);
		fleet.store.setEnforcedLimits(TransactionLimits.STANDARD);
		fleet.advance(Duration.ofSeconds(70));
		int before = fleet.store.writeCount();
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofMillis(200));
		assertEquals(fleet.served, 90);
		assertTrue(fleet.store.writeCount() - before <= 5, "writes: " + (fleet.store.writeCount() - before));
	}

	// Random sequences of kills, restarts, outages, lost or delayed writes, and
	// configurations that drop workspaces or add them again. Guards against tokens that
	// are given out twice because a change is written in parts.
	@Property(tries = 60, seed = "20261207")
	public void faultsNeverCauseOverspending(@ForAll long seed) {
		Random random = new Random(seed);
		LedgerFleet fleet = new LedgerFleet(1 + random.nextInt(3), 20_000);
		fleet.peerFault = random.nextBoolean() ? LedgerFleet.PeerFault.NONE : LedgerFleet.PeerFault.UNREACHABLE;
		List<String> names = IntStream.range(0, 110).mapToObj((i) -> "workspace-" + i).toList();
		fleet.workspaces.addAll(names);
		fleet.setAllowance(fleet.allowance);
		for (int step = 0; step < 120; step++) {
			LedgerFleet.Router router = fleet.routers.get(random.nextInt(fleet.routers.size()));
			switch (random.nextInt(12)) {
				case 0 -> {
					if (router.isAlive()) {
						router.kill();
					}
				}
				case 1, 2 -> {
					if (!router.isAlive()) {
						router.start();
					}
				}
				case 3 -> router.store
					.setFault(FaultyStore.Fault.values()[random.nextInt(FaultyStore.Fault.values().length)]);
				case 4, 5 -> router.store.setFault(FaultyStore.Fault.NONE);
				case 6 -> router.store.applyDelayedWrites();
				case 7 -> {
					names.forEach((name) -> {
						if (random.nextInt(4) == 0) {
							fleet.workspaces.remove(name);
						}
						else {
							fleet.workspaces.add(name);
						}
					});
					fleet.setAllowance(fleet.allowance);
				}
				case 8 -> fleet.advance(Duration.ofMillis(50L * random.nextInt(60)));
				default -> {
					if (router.isAlive()) {
						fleet.workspaces.forEach((workspace) -> router.request(workspace, random.nextInt(1_500)));
					}
					fleet.advance(STEP);
				}
			}
			fleet.usedByWorkspace.forEach((workspace, used) -> assertTrue(used <= fleet.allowance,
					workspace + " used " + used + " of " + fleet.allowance));
			assertEquals(fleet.store.rejectedCount(), 0);
		}
	}

	private static LedgerFleet fleet(int routers, int workspaces) {
		LedgerFleet fleet = new LedgerFleet(routers, ALLOWANCE);
		IntStream.range(1, workspaces).forEach((i) -> fleet.workspaces.add("workspace-" + i));
		fleet.setAllowance(ALLOWANCE);
		fleet.writeDelay = WRITE_DELAY;
		fleet.advance(Duration.ofSeconds(1));
		return fleet;
	}

	private static void requestOnAllRouters(LedgerFleet fleet) {
		fleet.workspaces.forEach((workspace) -> fleet.routers.forEach((router) -> router.request(workspace, TOKENS)));
	}

	private static void spendEverything(LedgerFleet fleet) {
		for (int i = 0; i < 30; i++) {
			for (String workspace : fleet.workspaces) {
				fleet.routers.get(i % fleet.routers.size()).request(workspace, 100 * TOKENS);
			}
			fleet.advance(Duration.ofSeconds(1));
		}
	}

	// One request of each workspace at each router is served within the recovery time.
	private static void assertServedSoon(LedgerFleet fleet) {
		fleet.advance(RECOVERY_TIME);
		long before = fleet.served;
		requestOnAllRouters(fleet);
		fleet.advance(Duration.ofSeconds(2));
		assertEquals(fleet.store.rejectedCount(), 0);
		assertEquals(fleet.served - before, (long) fleet.workspaces.size() * fleet.routers.size());
	}

	// All tokens but the headroom of the limits are in the pools or at a router.
	private static void assertReleased(LedgerFleet fleet) throws JsonFormatException {
		List<Row> rows = fleet.store.scan(PrepaidLedger.ROUTER_PREFIX, "", 1_000).join();
		assertFalse(rows.isEmpty());
		long granted = 0;
		for (Row row : fleet.store.scan(PrepaidLedger.GRANT_PREFIX, "", 1_000).join()) {
			granted += Json.read(row.json(), GrantRow.class).givenTokens();
		}
		long held = 0;
		for (String workspace : fleet.workspaces) {
			for (LedgerFleet.Router router : fleet.routers) {
				held += router.ledger().wallet(workspace).heldTokens();
			}
		}
		long total = fleet.allowance * fleet.workspaces.size();
		assertTrue(granted >= fleet.usedTokens + held, "granted " + granted + ", held " + held);
		assertTrue(granted - fleet.usedTokens - held <= total / 4, "lost " + (granted - fleet.usedTokens - held));
	}

}
