package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class PrepaidLedgerTests {

	private static final Duration SECOND = Duration.ofSeconds(1);

	@Test
	public void allTokensCanBeSpentAndNoneTwice() {
		LedgerFleet fleet = new LedgerFleet(4, 100_000);
		load(fleet, 30, 1_000);
		assertTrue(fleet.usedTokens > 97_000, "used " + fleet.usedTokens);
		assertTrue(fleet.usedTokens <= 100_000);
		assertTrue(fleet.refusedAsUsedUp > 0, "refused for now: " + fleet.refusedForNow + ", rows "
				+ fleet.store.scan(PrepaidLedger.GRANT_PREFIX, "", 10).join());
	}

	@Test
	public void aRouterThatTakesMostOfTheLoadGetsMostOfTheTokens() {
		LedgerFleet fleet = new LedgerFleet(4, 1_000_000);
		for (int second = 0; second < 20; second++) {
			for (int i = 0; i < 20; i++) {
				fleet.routers.get((i < 17) ? 0 : i % 4).request(1_000);
				fleet.advance(Duration.ofMillis(50));
			}
		}
		assertEquals(fleet.refusedForNow + fleet.refusedAsUsedUp, 0);
	}

	// Found in trial g2: on small hosts each conflict cost a read of all rows, in which
	// others wrote again, so that requests waited for seconds.
	@Test
	public void aConflictIsRepeatedWithoutARead() {
		LedgerFleet fleet = new LedgerFleet(2, 10_000_000);
		load(fleet, 4, 500);
		int before = fleet.routers.get(1).path.reads();
		for (int i = 0; i < 20; i++) {
			fleet.routers.get(0).request(40_000);
			fleet.advance(SECOND);
			fleet.routers.get(1).request(300_000 + i);
			fleet.advance(Duration.ofMillis(50));
		}
		assertEquals(fleet.refusedForNow + fleet.refusedAsUsedUp, 0);
		assertEquals(fleet.routers.get(1).path.reads(), before);
	}

	@Test
	public void heldTokensBridgeACutOfTheStore() {
		LedgerFleet fleet = new LedgerFleet(4, 1_000_000);
		load(fleet, 6, 500);
		fleet.routers.forEach((router) -> router.path.setFault(FaultyStore.Fault.CUT));
		long refusedBefore = fleet.refusedForNow;
		load(fleet, 8, 500);
		assertEquals(fleet.refusedForNow, refusedBefore);
	}

	@Test
	public void requestsAreRefusedAtOnceWhenTheTokensRunOutInACut() {
		LedgerFleet fleet = new LedgerFleet(1, 1_000_000);
		load(fleet, 3, 1_000);
		fleet.routers.get(0).path.setFault(FaultyStore.Fault.CUT);
		load(fleet, 40, 1_000);
		assertTrue(fleet.refusedForNow > 0);
		assertEquals(fleet.refusedAsUsedUp, 0);
		long before = fleet.refusedForNow;
		fleet.routers.get(0).request(900_000);
		fleet.advance(Duration.ofMillis(50));
		assertEquals(fleet.refusedForNow, before + 1);
	}

	@Test
	public void aRouterThatIsBackInTimeFreesWhatItsPredecessorCannotHaveSpent() {
		LedgerFleet fleet = new LedgerFleet(1, 100_000);
		load(fleet, 4, 1_000);
		fleet.routers.get(0).kill();
		fleet.advance(Duration.ofMillis(1_500));
		fleet.routers.get(0).start();
		load(fleet, 30, 1_000);
		assertTrue(fleet.usedTokens <= 100_000);
		assertTrue(fleet.usedTokens > 90_000, "used " + fleet.usedTokens);
	}

	@Test
	public void aRouterThatWasOutOfContactBeforeItWasLostFreesNothing() {
		LedgerFleet fleet = new LedgerFleet(1, 100_000);
		load(fleet, 4, 1_000);
		fleet.routers.get(0).path.setFault(FaultyStore.Fault.CUT);
		load(fleet, 4, 1_000);
		fleet.routers.get(0).kill();
		fleet.routers.get(0).path.setFault(FaultyStore.Fault.NONE);
		fleet.routers.get(0).start();
		load(fleet, 30, 1_000);
		assertTrue(fleet.usedTokens <= 100_000, "used " + fleet.usedTokens);
	}

	@Test
	public void stoppingGivesAllUnspentTokensBack() {
		LedgerFleet fleet = new LedgerFleet(2, 100_000);
		load(fleet, 4, 500);
		CompletableFuture<Boolean> done = fleet.routers.get(0).ledger().returnAllTokens();
		fleet.advance(SECOND);
		assertTrue(done.getNow(false));
		fleet.routers.get(0).kill();
		while (fleet.refusedAsUsedUp == 0) {
			fleet.routers.get(1).request(500);
			fleet.advance(Duration.ofMillis(100));
		}
		assertTrue(fleet.usedTokens > 98_000, "used " + fleet.usedTokens);
	}

	@Test
	public void aTopUpIsSpentAfterItIsInForce() {
		LedgerFleet fleet = new LedgerFleet(2, 10_000);
		load(fleet, 10, 500);
		assertTrue(fleet.refusedAsUsedUp > 0);
		fleet.setAllowance(20_000);
		load(fleet, 10, 500);
		assertTrue(fleet.usedTokens > 18_000 && fleet.usedTokens <= 20_000, "used " + fleet.usedTokens);
	}

	@Test
	public void aCutOfTheAllowanceStopsTheSpending() {
		LedgerFleet fleet = new LedgerFleet(2, 1_000_000);
		load(fleet, 4, 500);
		fleet.setAllowance(10);
		fleet.advance(SECOND);
		long used = fleet.usedTokens;
		load(fleet, 4, 500);
		assertEquals(fleet.usedTokens, used);
	}

	// Any order of kills, restarts, cuts and lost, late and unanswered writes.
	@Property(tries = 300, seed = "20261204")
	public void noHistoryOverspends(@ForAll long seed) {
		Random random = new Random(seed);
		LedgerFleet fleet = new LedgerFleet(1 + random.nextInt(4), 50_000 + random.nextInt(100_000));
		for (int step = 0; step < 300; step++) {
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
				case 3 ->
					router.path.setFault(FaultyStore.Fault.values()[random.nextInt(FaultyStore.Fault.values().length)]);
				case 4 -> router.path.setFault(FaultyStore.Fault.NONE);
				case 5 -> router.path.performLateWrites();
				case 6 -> fleet.advance(Duration.ofMillis(50L * random.nextInt(60)));
				default -> {
					if (router.isAlive()) {
						router.request(random.nextInt(3_000));
					}
					fleet.advance(Duration.ofMillis(50));
				}
			}
			assertTrue(fleet.usedTokens <= fleet.largestAllowance,
					"used " + fleet.usedTokens + " of " + fleet.largestAllowance + " at step " + step);
		}
	}

	private static void load(LedgerFleet fleet, int seconds, long tokens) {
		for (int i = 0; i < seconds * 10; i++) {
			LedgerFleet.Router router = fleet.routers.get(i % fleet.routers.size());
			if (router.isAlive()) {
				router.request(tokens);
			}
			fleet.advance(Duration.ofMillis(100));
		}
	}

}
