package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.Callers;
import io.verbenacleat.core.account.Grant;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class BudgetLedgerTests {

	private TestEnvironment environment = new TestEnvironment();

	private TestEnvironment.Holder holder = this.environment.holder("unused", new FixedGrantPolicy(100));

	@BeforeMethod
	void setUp() {
		this.environment = new TestEnvironment();
		this.environment.addAccount("a", 1_000);
		this.holder = this.environment.holder("h1", new FixedGrantPolicy(100));
	}

	// Guards against reservations by unknown callers and on unknown accounts.
	@Test
	void refusesUnknownAndRevokedCallers() {
		this.environment.put(Callers.key("a"),
				new Callers(List.of(new Callers.Caller("old", "revoked", 0, 1L), caller(TestEnvironment.KEY))));
		assertEquals(reserve(TestEnvironment.request("r1", "nowhere", 1)).getRefusal(), ReserveRefusal.UNKNOWN_ACCOUNT);
		assertEquals(reserve(withKey("r2", "stranger")).getRefusal(), ReserveRefusal.UNKNOWN_KEY);
		assertEquals(reserve(withKey("r3", "revoked")).getRefusal(), ReserveRefusal.REVOKED_KEY);
		assertEquals(reserve(withKey("r4", TestEnvironment.KEY)).getCallerId(), "caller");
	}

	// Guards against an outage that blocks cached callers, and against a revocation
	// that is never applied.
	@Test
	void usesInvalidatedCallersOnlyWhileTheStoreIsOut() {
		assertTrue(reserve("r1", 10).getGranted());
		this.environment.put(Callers.key("a"),
				new Callers(List.of(new Callers.Caller("caller", TestEnvironment.KEY, 0, 5L))));
		this.holder.store.setAvailable(false);
		this.holder.ledger.invalidateCallers(List.of("a"));
		assertTrue(reserve("r2", 10).getGranted());
		this.holder.store.setAvailable(true);
		assertEquals(reserve("r3", 10).getRefusal(), ReserveRefusal.REVOKED_KEY);
	}

	// Guards against tokens that are reserved twice, and against the wrong refusal.
	@Test
	void distinguishesReservedFromExhaustedBudget() {
		assertTrue(reserve("r1", 900).getGranted());
		assertEquals(reserve("r2", 200).getRefusal(), ReserveRefusal.BUDGET_RESERVED);
		assertEquals(reserve("r3", 1_001).getRefusal(), ReserveRefusal.QUOTA_EXHAUSTED);
		settle("r1", 850);
		assertEquals(reserve("r4", 200).getRefusal(), ReserveRefusal.QUOTA_EXHAUSTED);
		this.environment.topUp("a", 500);
		assertTrue(reserve("r5", 200).getGranted());
	}

	// Guards against a refusal near the end of a budget although another holder has
	// tokens.
	@Test
	void listsAlternativesAndServesForwardedRequestsFromTheCurrentGrant() {
		TestEnvironment.Holder other = this.environment.holder("h2", new FixedGrantPolicy(600));
		assertTrue(reserve(other, TestEnvironment.request("r1", "a", 1)).getGranted());
		ReserveResponse refused = reserve("r2", 500);
		assertEquals(refused.getRefusal(), ReserveRefusal.BUDGET_RESERVED);
		assertEquals(refused.getAlternatives(0).getHolderIncarnation(), "h2");
		assertEquals(refused.getAlternatives(0).getRestTokens(), 600);
		int writes = other.store.writes();
		assertTrue(reserve(other, forwarded("r2", 500)).getGranted());
		assertFalse(reserve(other, forwarded("r3", 200)).getGranted());
		assertEquals(other.store.writes(), writes);
	}

	// Guards against a reservation that is never answered.
	@Test
	void answersWhenTheStoreIsUnresponsive() {
		assertTrue(reserve("r1", 50).getGranted());
		this.holder.store.setSilent(true);
		CompletableFuture<ReserveResponse> large = this.holder.ledger.reserve(TestEnvironment.request("r2", "a", 80));
		CompletableFuture<ReserveResponse> small = this.holder.ledger.reserve(TestEnvironment.request("r3", "a", 50));
		this.holder.advanceMs(200);
		assertFalse(large.isDone());
		this.holder.advanceMs(200);
		assertEquals(large.join().getRefusal(), ReserveRefusal.TABLE_UNREACHABLE);
		assertTrue(small.join().getGranted());
	}

	// Guards against tokens that are used before their grant is certain, and against a
	// grant that is written twice.
	@Test
	void resolvesLostAndLateRenewals() {
		this.holder.store.loseNextAnswers(1);
		assertTrue(reserve("r1", 50).getGranted());
		assertEquals(grant().grantedTokens(), 100);
		this.holder.store.delayNextWrites(1);
		assertTrue(reserve("r2", 100).getGranted());
		this.holder.store.deliverDelayedWrites();
		assertEquals(grant().grantedTokens(), 200);
		this.holder.store.delayNextWrites(1);
		CompletableFuture<ReserveResponse> waiting = this.holder.ledger.reserve(TestEnvironment.request("r3", "a", 60));
		this.holder.advanceMs(50);
		this.holder.store.setAvailable(false);
		this.holder.advanceMs(1_000);
		assertEquals(waiting.join().getRefusal(), ReserveRefusal.TABLE_UNREACHABLE);
		assertTrue(reserve("r4", 50).getGranted());
		assertFalse(reserve("r5", 1).getGranted());
		this.holder.store.deliverDelayedWrites();
		this.holder.store.setAvailable(true);
		assertTrue(reserve("r6", 100).getGranted());
		assertEquals(grant().grantedTokens(), 300);
	}

	// Guards against a request that is billed twice, and against a receipt that is
	// evicted before the agent learns that it is durable.
	@Test
	void billsOnceAndReportsDurableReceipts() {
		for (int i = 0; i < 6; i++) {
			assertTrue(reserve("r" + i, 10).getGranted());
			assertEquals(settle("r" + i, 7).getDurableRequestIdsCount(), 0);
		}
		this.holder.store.loseNextAnswers(1);
		this.holder.advanceMs(20_000);
		for (int i = 0; i < 6; i++) {
			assertEquals(settle("r" + i, 7).getDurableRequestIdsList(), List.of("r" + i));
		}
		this.holder.advanceMs(20_000);
		assertEquals(this.environment.receipts().size(), 6);
		assertEquals(grant().spentTokens(), 42);
	}

	// Guards against unbilled use when a receipt exceeds its reservation or has none.
	@Test
	void billsOverbilledAndUnknownReceipts() {
		assertTrue(reserve("r1", 100).getGranted());
		settle("r1", 130);
		settle("unknown", 20);
		this.holder.advanceMs(20_000);
		assertEquals(this.environment.receipts().size(), 2);
		assertEquals(grant().spentTokens(), 150);
		assertTrue(grant().grantedTokens() >= 150);
		assertEquals(counter("verbena_budget_overbilled_receipts"), 1.0);
		assertEquals(counter("verbena_budget_unknown_receipts"), 1.0);
	}

	// Guards against tokens that stay reserved or are released twice.
	@Test
	void releasesOnce() {
		assertTrue(reserve("r1", 600).getGranted());
		assertTrue(reserve("r2", 400).getGranted());
		release("r1");
		release("r1");
		assertTrue(reserve("r3", 600).getGranted());
		assertEquals(reserve("r4", 1).getRefusal(), ReserveRefusal.BUDGET_RESERVED);
	}

	// Guards against a leak of tokens when a reservation is sent twice, or its release
	// arrives first.
	@Test
	void handlesRepeatedAndReorderedMessages() {
		this.holder.store.delayNextWrites(1);
		CompletableFuture<ReserveResponse> first = this.holder.ledger.reserve(TestEnvironment.request("r1", "a", 600));
		this.holder.advanceMs(50);
		assertTrue(reserve("r1", 600).getGranted());
		assertTrue(first.join().getGranted());
		assertTrue(reserve("r1", 600).getGranted());
		release("r1");
		assertTrue(reserve("r2", 1_000).getGranted());
		release("r2");
		release("r3");
		assertFalse(reserve("r3", 10).getGranted());
		assertTrue(reserve("r4", 1_000).getGranted());
	}

	// Guards against acknowledging a receipt for an earlier holder at this address.
	@Test
	void sendsReceiptsOfOtherHoldersToTheCloser() {
		Receipt receipt = TestEnvironment.receipt("r1", "a", "earlier", 5);
		CompletableFuture<SettleResponse> answer = this.holder.ledger
			.settle(SettleRequest.newBuilder().addReceipts(receipt).build());
		this.holder.advanceMs(20_000);
		assertTrue(answer.join().getHolderClosed());
		assertEquals(this.environment.receipts(), List.of());
	}

	// Guards against tokens that stay reserved for a lost gateway, and against
	// releasing tokens of requests that may have run.
	@Test
	void endsReservationsOfClosedGateways() {
		assertTrue(reserve("r1", 300).getGranted());
		assertTrue(reserve("r2", 300).getGranted());
		this.holder.ledger.closeGateway("gateway", Set.of("r1"), List.of());
		this.holder.advanceMs(0);
		assertEquals(reserve("r3", 1).getRefusal(), ReserveRefusal.HOLDER_NOT_OPEN);
		ReserveRequest other = TestEnvironment.request("r4", "a", 700).toBuilder().setGatewayIncarnation("g2").build();
		assertTrue(reserve(this.holder, other).getGranted());
		this.holder.ledger.closeGateway("g2", Set.of(), List.of("lost-agent"));
		settle("r1", 200);
		this.holder.advanceMs(20_000);
		assertEquals(grant().heldTokens(), 700);
		assertEquals(grant().spentTokens(), 200);
	}

	// Guards against unbounded memory while the journal cannot be written.
	@Test
	void refusesWhenTheJournalIsFull() {
		assertTrue(reserve("r", 1).getGranted());
		this.holder.store.setAvailable(false);
		for (int i = 0; i < 50; i++) {
			settle("u" + i, 1);
		}
		assertEquals(reserve("r1", 1).getRefusal(), ReserveRefusal.JOURNAL_FULL);
		this.holder.store.setAvailable(true);
		this.holder.advanceMs(10_000);
		assertTrue(reserve("r2", 1).getGranted());
	}

	// Guards against a closed holder that still grants or acknowledges.
	@Test
	void stopsServingOnceClosed() {
		AtomicInteger closedCalls = new AtomicInteger();
		this.holder.ledger.addClosedListener(closedCalls::incrementAndGet);
		assertTrue(reserve("r1", 10).getGranted());
		ProcessRow row = this.environment.get(ProcessRow.key("h1"), ProcessRow.class);
		this.environment.put(ProcessRow.key("h1"), row.withState(ProcessRow.State.CLOSING, "closer"));
		settle("r1", 10);
		this.holder.advanceMs(5_000);
		assertEquals(closedCalls.get(), 1);
		assertEquals(this.environment.receipts(), List.of());
		assertEquals(reserve("r2", 1).getRefusal(), ReserveRefusal.HOLDER_NOT_OPEN);
		assertTrue(settle("r1", 10).getHolderClosed());
	}

	// Guards against grants that stay on an idle account, and against tokens settled
	// twice afterwards.
	@Test
	void removesUnusedGrants() {
		assertTrue(reserve("r1", 10).getGranted());
		settle("r1", 4);
		this.holder.advanceMs(200_000);
		assertEquals(this.environment.account("a").grants().size(), 0);
		assertEquals(this.environment.account("a").settledTokens(), 4);
		assertTrue(reserve("r2", 10).getGranted());
		assertEquals(grant().spentTokens(), 0);
		assertEquals(grant().spentBaseTokens(), 4);
	}

	// Guards against a graceful stop that loses receipts or leaves grants behind.
	@Test
	void stopsGracefully() {
		assertTrue(reserve("r1", 10).getGranted());
		CompletableFuture<Boolean> stopped = this.holder.ledger.stop(Duration.ofMinutes(1));
		this.holder.advanceMs(1_000);
		assertFalse(stopped.isDone());
		assertEquals(reserve("r2", 1).getRefusal(), ReserveRefusal.HOLDER_NOT_OPEN);
		settle("r1", 4);
		this.holder.store.loseNextAnswers(3);
		this.holder.advanceMs(30_000);
		assertTrue(stopped.join());
		Account account = this.environment.account("a");
		assertEquals(account, new Account("a", "workspace", 3, 1_000, 4, 0, Map.of()));
		assertEquals(this.environment.receipts().size(), 1);
		assertEquals(this.environment.processState("h1"), ProcessRow.State.CLOSED);
		assertFalse(this.environment.isMember("h1"));
	}

	private Grant grant() {
		return Objects.requireNonNull(this.environment.account("a").grant("h1"));
	}

	private double counter(String name) {
		return this.holder.registry.scrape((found) -> found.equals(name))
			.stream()
			.flatMap((snapshot) -> snapshot.getDataPoints().stream())
			.mapToDouble((point) -> ((CounterSnapshot.CounterDataPointSnapshot) point).getValue())
			.sum();
	}

	private ReserveResponse reserve(String requestId, long tokens) {
		return reserve(TestEnvironment.request(requestId, "a", tokens));
	}

	private ReserveResponse reserve(ReserveRequest request) {
		return reserve(this.holder, request);
	}

	private static ReserveResponse reserve(TestEnvironment.Holder holder, ReserveRequest request) {
		CompletableFuture<ReserveResponse> answer = holder.ledger.reserve(request);
		holder.advanceMs(400);
		return answer.join();
	}

	private SettleResponse settle(String requestId, long billedTokens) {
		Receipt receipt = TestEnvironment.receipt(requestId, "a", "h1", billedTokens);
		CompletableFuture<SettleResponse> answer = this.holder.ledger
			.settle(SettleRequest.newBuilder().addReceipts(receipt).build());
		this.holder.advanceMs(0);
		return answer.join();
	}

	private void release(String requestId) {
		this.holder.ledger
			.release(ReleaseRequest.newBuilder().setHolderIncarnation("h1").addRequestIds(requestId).build());
		this.holder.advanceMs(0);
	}

	private static Callers.Caller caller(String hash) {
		return new Callers.Caller("caller", hash, 0, null);
	}

	private static ReserveRequest withKey(String requestId, String hash) {
		return TestEnvironment.request(requestId, "a", 1).toBuilder().setKeySha256(hash).build();
	}

	private static ReserveRequest forwarded(String requestId, long tokens) {
		return TestEnvironment.request(requestId, "a", tokens).toBuilder().setForwarded(true).build();
	}

}
