package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests the exchange of tokens between routers while the store is unreachable.
 */
public class TokenExchangeTests {

	private static final long ALLOWANCE = 2_000_000;

	/**
	 * A load is significant if at least a quarter of its 80 to 100 requests is refused
	 * without exchange.
	 */
	private static final long MIN_BASELINE_REFUSALS = 20;

	// All routers lose the store for 10 s and restart one after the other. Each loses its
	// tokens, and its callers move to the others, which together hold tokens for 12 s.
	@Test
	public void aRollingRestartDuringAnOutageIsServedWithBorrowedTokens() {
		long refusedWithoutExchange = refusalsInARollingRestart(LedgerFleet.PeerFault.UNREACHABLE);
		long refusedWithExchange = refusalsInARollingRestart(LedgerFleet.PeerFault.NONE);
		assertTrue(refusedWithoutExchange >= MIN_BASELINE_REFUSALS,
				"baseline without exchange refused " + refusedWithoutExchange);
		assertTrue(refusedWithExchange * 10 <= refusedWithoutExchange,
				refusedWithExchange + " refused, baseline " + refusedWithoutExchange);
	}

	// During a store outage, the callers of one zone move to one router.
	@Test
	public void callersThatMoveDuringAnOutageAreServedWithBorrowedTokens() {
		long refusedWithoutExchange = refusalsWhenCallersMove(LedgerFleet.PeerFault.UNREACHABLE);
		long refusedWithExchange = refusalsWhenCallersMove(LedgerFleet.PeerFault.NONE);
		assertTrue(refusedWithoutExchange >= MIN_BASELINE_REFUSALS,
				"baseline without exchange refused " + refusedWithoutExchange);
		assertEquals(refusedWithExchange, 0);
	}

	@Test
	public void aLenderSharesItsTokensByDemand() {
		Wallet wallet = walletWith(100_000);
		demand(wallet, 1_000);
		long lent = wallet.lend(new LoanRequest(0, 100_000, 1_000));
		assertTrue(lent > 49_500 && lent < 50_500, "lent " + lent);
		assertEquals(wallet.committedTokens() + wallet.heldTokens(), wallet.grantedTokens());
	}

	@Test
	public void nothingIsLentWhileOwnRequestsWait() {
		Wallet wallet = walletWith(1_000);
		wallet.await(new PendingWaiter(5_000));
		assertEquals(wallet.lend(new LoanRequest(100, 100, 10)), 0);
	}

	@Test
	public void receivedTokensMayBeSpentBeyondTheStatedLimit() {
		Wallet wallet = new Wallet("w");
		wallet.deposit(1_000);
		wallet.confirmLimit(100);
		wallet.receive(500);
		assertTrue(wallet.tryReserve(600));
		assertEquals(wallet.tryReserve(1), false);
	}

	@Test
	public void aStoppingRouterTransfersItsTokens() {
		LedgerFleet fleet = new LedgerFleet(2, 100_000);
		fleet.peerFault = LedgerFleet.PeerFault.NONE;
		load(fleet, 4, 500);
		fleet.routers.forEach((router) -> router.store.setFault(FaultyStore.Fault.UNREACHABLE));
		fleet.advance(Duration.ofSeconds(3));
		long before = fleet.routers.get(1).ledger().wallet(LedgerFleet.WORKSPACE).heldTokens();
		long transferred = fleet.routers.get(0).ledger().wallet(LedgerFleet.WORKSPACE).heldTokens();
		fleet.routers.get(0).ledger().returnAllTokens();
		fleet.advance(Duration.ofSeconds(1));
		assertTrue(transferred > 1_000);
		assertEquals(fleet.routers.get(1).ledger().wallet(LedgerFleet.WORKSPACE).heldTokens(), before + transferred);
		assertEquals(fleet.routers.get(0).ledger().wallet(LedgerFleet.WORKSPACE).heldTokens(), 0);
	}

	// Guards against a process that ends before its transfer is sent, as seen in
	// RouterProcessTests.
	@Test
	public void stoppingWaitsForTheTransferResponse() {
		LedgerFleet fleet = new LedgerFleet(2, 100_000);
		fleet.peerFault = LedgerFleet.PeerFault.SLOW;
		load(fleet, 4, 500);
		fleet.routers.forEach((router) -> router.store.setFault(FaultyStore.Fault.UNREACHABLE));
		fleet.advance(Duration.ofSeconds(3));
		CompletableFuture<Boolean> returned = fleet.routers.get(0).ledger().returnAllTokens();
		fleet.advance(Duration.ofMillis(50));
		assertEquals(returned.isDone(), false);
		fleet.advance(Duration.ofSeconds(1));
		assertTrue(returned.getNow(false));
	}

	@Test
	public void tokensAreKeptWhenNoRouterAcceptsThem() {
		LedgerFleet fleet = new LedgerFleet(1, 100_000);
		load(fleet, 4, 500);
		fleet.routers.get(0).store.setFault(FaultyStore.Fault.UNREACHABLE);
		fleet.advance(Duration.ofSeconds(3));
		long held = fleet.routers.get(0).ledger().wallet(LedgerFleet.WORKSPACE).heldTokens();
		fleet.routers.get(0).ledger().startReturningTokens();
		fleet.advance(Duration.ofSeconds(1));
		assertEquals(fleet.routers.get(0).ledger().wallet(LedgerFleet.WORKSPACE).heldTokens(), held);
	}

	@Test
	public void nothingIsLentForUnknownWorkspaces() {
		LedgerFleet fleet = new LedgerFleet(1, 100_000);
		assertEquals(fleet.routers.get(0)
			.ledger()
			.exchange()
			.lend(Map.of("other", new LoanRequest(10, 10, 1)), "")
			.getNow(null), Map.of());
	}

	// One router loses the store, and the callers of others move to it.
	@Test
	public void aLenderWithStoreAccessWithdrawsFromThePool() {
		long refusedWithoutExchange = refusalsOfADisconnectedRouter(LedgerFleet.PeerFault.UNREACHABLE);
		long refusedWithExchange = refusalsOfADisconnectedRouter(LedgerFleet.PeerFault.NONE);
		assertTrue(refusedWithoutExchange >= MIN_BASELINE_REFUSALS,
				"baseline without exchange refused " + refusedWithoutExchange);
		assertEquals(refusedWithExchange, 0);
	}

	// Guards against a lender that lends nothing because it has just started; in trial t6
	// it was the only router with access to the store.
	@Test
	public void aLenderReadsTheRowAfterARestart() {
		LedgerFleet fleet = new LedgerFleet(2, ALLOWANCE);
		fleet.peerFault = LedgerFleet.PeerFault.NONE;
		load(fleet, 4, 2_000);
		fleet.routers.get(0).store.setFault(FaultyStore.Fault.UNREACHABLE);
		fleet.routers.get(0).kill();
		fleet.routers.get(0).start();
		fleet.routers.get(1).kill();
		fleet.routers.get(1).start();
		fleet.advance(Duration.ofMillis(500));
		for (int i = 0; i < 20; i++) {
			fleet.routers.get(0).request(2_000);
			fleet.advance(Duration.ofMillis(100));
		}
		assertEquals(fleet.refusedTemporarily, 0);
	}

	// Guards against a stopping router that lends nothing; in trial t7 it was the only
	// router with access to the store.
	@Test
	public void aStoppingRouterWithStoreAccessStillLends() {
		LedgerFleet fleet = new LedgerFleet(2, ALLOWANCE);
		fleet.peerFault = LedgerFleet.PeerFault.NONE;
		load(fleet, 4, 2_000);
		fleet.routers.get(1).ledger().startReturningTokens();
		fleet.advance(Duration.ofSeconds(1));
		fleet.routers.get(0).store.setFault(FaultyStore.Fault.UNREACHABLE);
		for (int i = 0; i < 40; i++) {
			fleet.routers.get(0).request(8_000);
			fleet.advance(Duration.ofMillis(100));
		}
		assertEquals(fleet.refusedTemporarily, 0);
		CompletableFuture<Boolean> returned = fleet.routers.get(1).ledger().returnAllTokens();
		fleet.advance(Duration.ofSeconds(1));
		assertTrue(returned.getNow(false));
	}

	private static long refusalsOfADisconnectedRouter(LedgerFleet.PeerFault fault) {
		LedgerFleet fleet = new LedgerFleet(2, ALLOWANCE);
		fleet.peerFault = fault;
		for (int i = 0; i < 40; i++) {
			fleet.routers.get(1).request(200);
			fleet.advance(Duration.ofMillis(100));
		}
		fleet.routers.get(0).store.setFault(FaultyStore.Fault.UNREACHABLE);
		for (int i = 0; i < 80; i++) {
			fleet.routers.get(0).request(3_000);
			fleet.routers.get(1).request(200);
			fleet.advance(Duration.ofMillis(100));
		}
		return fleet.refusedTemporarily;
	}

	// Random sequences of kills, restarts, stops, store outages, lost writes and lost
	// responses between routers.
	@Property(tries = 300, seed = "20261205")
	public void faultsDuringExchangesNeverCauseOverspending(@ForAll long seed) {
		Random random = new Random(seed);
		LedgerFleet fleet = new LedgerFleet(2 + random.nextInt(3), 50_000 + random.nextInt(100_000));
		for (int step = 0; step < 300; step++) {
			LedgerFleet.Router router = fleet.routers.get(random.nextInt(fleet.routers.size()));
			switch (random.nextInt(14)) {
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
				case 4 -> router.store.setFault(FaultyStore.Fault.NONE);
				case 5 -> router.store.applyDelayedWrites();
				case 6 -> fleet.advance(Duration.ofMillis(50L * random.nextInt(60)));
				case 7 -> {
					LedgerFleet.PeerFault[] faults = LedgerFleet.PeerFault.values();
					fleet.peerFault = faults[random.nextInt(faults.length)];
				}
				case 8 -> {
					if (router.isAlive() && random.nextInt(3) == 0) {
						router.ledger().startReturningTokens();
					}
				}
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

	private static long refusalsInARollingRestart(LedgerFleet.PeerFault fault) {
		LedgerFleet fleet = new LedgerFleet(4, ALLOWANCE);
		fleet.peerFault = fault;
		load(fleet, 6, 2_000);
		fleet.routers.forEach((router) -> router.store.setFault(FaultyStore.Fault.UNREACHABLE));
		load(fleet, 1, 2_000);
		for (LedgerFleet.Router router : fleet.routers.subList(0, 3)) {
			router.ledger().startReturningTokens();
			fleet.advance(Duration.ofMillis(100));
			router.kill();
			router.start();
			load(fleet, 2, 2_000);
		}
		return fleet.refusedTemporarily;
	}

	private static long refusalsWhenCallersMove(LedgerFleet.PeerFault fault) {
		LedgerFleet fleet = new LedgerFleet(4, ALLOWANCE);
		fleet.peerFault = fault;
		load(fleet, 6, 2_000);
		fleet.routers.forEach((router) -> router.store.setFault(FaultyStore.Fault.UNREACHABLE));
		for (int i = 0; i < 80; i++) {
			fleet.routers.get(0).request(2_000);
			fleet.advance(Duration.ofMillis(100));
		}
		return fleet.refusedTemporarily;
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

	private static Wallet walletWith(long tokens) {
		Wallet wallet = new Wallet("w");
		wallet.deposit(tokens);
		wallet.liftLimit();
		return wallet;
	}

	private static void demand(Wallet wallet, long tokensPerS) {
		for (int i = 0; i < 30; i++) {
			assertTrue(wallet.tryReserve(tokensPerS));
			wallet.settle(tokensPerS, 0);
			wallet.updateDemand(1);
		}
	}

	/**
	 * A request that is neither granted nor refused.
	 *
	 * @param tokens the tokens that it needs
	 */
	private record PendingWaiter(long tokens) implements Wallet.Waiter {

		@Override
		public void granted() {
			throw new AssertionError("Request was granted without tokens");
		}

		@Override
		public void refused(boolean allowanceUsedUp) {
			throw new AssertionError("Request was refused");
		}

	}

}
