package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ProcessCloserTests {

	private TestEnvironment environment = new TestEnvironment();

	private FakeAgents agents = new FakeAgents(this.environment);

	private ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private FaultyTableStore store = new FaultyTableStore(this.environment.store);

	private TestEnvironment.Holder holder = this.environment.holder("unused", new FixedGrantPolicy(100));

	@BeforeMethod
	void setUp() {
		this.environment = new TestEnvironment();
		this.environment.addAccount("a", 1_000);
		this.agents = new FakeAgents(this.environment);
		this.agents.add("agent-1");
		this.agents.add("agent-2");
		this.control = new ManualControlThread(Instant.EPOCH);
		this.store = new FaultyTableStore(this.environment.store);
		this.holder = this.environment.holder("h1", new FixedGrantPolicy(100));
		execute("r1", "agent-1", 30);
		execute("r2", "agent-1", 40);
	}

	// Guards against lost and duplicate bills: one receipt is durable, the other is
	// not, and the paused holder resumes with its own copy after it was closed.
	@Test
	void takesOverReceiptsThatAreNotDurable() {
		FakeAgents.FakeAgent agent = this.agents.agent("agent-1");
		agent.finishAll();
		settle(agent.receipt("r1"));
		this.holder.advanceMs(5_000);
		settle(agent.receipt("r2"));
		close(closer("closer"), 5_000);
		this.holder.advanceMs(10_000);
		JournalRow last = this.environment.get(JournalRow.finalKey("h1"), JournalRow.class);
		assertEquals(last.receipts().size(), 1);
		assertEquals(last.spentByAccount(), Map.of("a", 70L));
		assertEquals(this.environment.receipts().size(), 2);
		assertEquals(fold(), expectedAccount(70, 0));
	}

	// Guards against closing a process while an order is in progress or an agent does
	// not answer.
	@Test
	void waitsForOrdersAndUnresponsiveAgents() {
		this.agents.agent("agent-2").unreachable = true;
		CompletableFuture<Void> closed = close(closer("closer"), 10_000);
		assertEquals(this.environment.processState("h1"), ProcessRow.State.CLOSING);
		this.agents.agent("agent-2").unreachable = false;
		this.control.advance(Duration.ofSeconds(5));
		assertFalse(closed.isDone());
		this.agents.agent("agent-1").finishAll();
		this.control.advance(Duration.ofSeconds(5));
		assertTrue(closed.isDone());
		assertFalse(this.environment.isMember("h1"));
		assertEquals(fold(), expectedAccount(70, 0));
	}

	// Guards against returning tokens that a lost agent may have spent.
	@Test
	void holdsTheRestWhenAnAgentIsLost() {
		this.agents.agent("agent-1").finishAll();
		this.agents.agent("agent-2").lost = true;
		close(closer("closer"), 5_000);
		JournalRow last = this.environment.get(JournalRow.finalKey("h1"), JournalRow.class);
		assertEquals(last.lostAgents(), List.of("agent-2"));
		assertEquals(fold(), expectedAccount(70, 30));
	}

	// Guards against holding a grant forever because of an agent that was lost long
	// before its holder, although all its requests are settled.
	@Test
	void returnsTheRestWhenTheLostAgentIsAccountedFor() {
		loseFirstAgent();
		settle(takenOver("r1", 30));
		settle(takenOver("r2", 40));
		this.holder.advanceMs(86_400_000);
		close(closer("closer"), 5_000);
		JournalRow last = this.environment.get(JournalRow.finalKey("h1"), JournalRow.class);
		assertFalse(last.restHeld());
		assertEquals(fold(), expectedAccount(0, 70));
	}

	// Guards against returning tokens of a request that the lost agent may have run,
	// after other requests were settled and later ones granted.
	@Test
	void holdsTheRestWhileARequestOfTheLostAgentIsOpen() {
		loseFirstAgent();
		settle(takenOver("r1", 30));
		reserve("r3", 20);
		this.holder.advanceMs(60_000);
		close(closer("closer"), 5_000);
		JournalRow last = this.environment.get(JournalRow.finalKey("h1"), JournalRow.class);
		assertEquals(last.lostAgents(), List.of("agent-1"));
		assertEquals(fold(), expectedAccount(0, 100));
	}

	// Guards against listing an agent as accounted for before the receipts of its
	// requests are durable: the store accepts no row of the holder after the loss.
	@Test
	void holdsTheRestWhileReceiptsOfTheLostAgentArePending() {
		this.holder.store.setAvailable(false);
		loseFirstAgent();
		settle(takenOver("r1", 30));
		settle(takenOver("r2", 40));
		this.holder.advanceMs(60_000);
		close(closer("closer"), 5_000);
		assertEquals(fold(), expectedAccount(0, 100));
	}

	// Guards against holding a grant because of an agent that was replaced before the
	// holder started, when its replacement has stopped as well.
	@Test
	void leavesOutAgentsThatEndedBeforeTheHolderStarted() {
		this.agents.agent("agent-1").finishAll();
		this.agents.add("old").lost = true;
		this.agents.add("next");
		putProcess(agent("old", 1), 1, ProcessRow.State.OPEN);
		putProcess(agent("next", 2), 2, ProcessRow.State.CLOSED);
		putProcess(this.environment.get(ProcessRow.key("h1"), ProcessRow.class).member(), 3, ProcessRow.State.OPEN);
		close(closer("closer"), 5_000);
		assertEquals(this.environment.get(JournalRow.finalKey("h1"), JournalRow.class).lostAgents(), List.of());
	}

	// Guards against a process that stays half closed: closers stop before each of
	// their writes in turn, and their answers are lost.
	@Test
	void isContinuedByAnotherCloser() {
		this.agents.agent("agent-1").finishAll();
		for (int step = 0; step < 6; step++) {
			this.store.loseNextAnswers(1);
			ProcessCloser first = closer("closer-" + step);
			first.closeProcess("h1");
			this.control.advance(Duration.ofMillis(300L * step));
			first.close();
		}
		ProcessCloser second = closer("second");
		ProcessCloser third = closer("third");
		CompletableFuture<Void> both = CompletableFuture.allOf(second.closeProcess("h1"), third.closeProcess("h1"));
		this.control.advance(Duration.ofSeconds(10));
		assertTrue(both.isDone());
		assertEquals(this.environment.receipts().size(), 2);
		assertEquals(fold(), expectedAccount(70, 0));
	}

	// Guards against an agent that registers while a process is being closed and is
	// never called to close it.
	@Test
	void callsAgentsThatRegisterDuringTheClose() {
		this.agents.agent("agent-1").finishAll();
		ProcessCloser closer = closer("closer");
		this.agents.onFirstCall(() -> this.agents.add("agent-3"));
		close(closer, 10_000);
		assertEquals(this.environment.processState("h1"), ProcessRow.State.CLOSED);
		assertFalse(this.agents.agent("agent-3").start(TestEnvironment.receipt("r9", "a", "h1", 1)));
	}

	// Guards against a closed holder whose delayed write raises its grant.
	@Test
	void ignoresRenewalsThatArriveAfterTheClose() {
		this.agents.agent("agent-1").finishAll();
		this.holder.store.delayNextWrites(1);
		CompletableFuture<ReserveResponse> late = this.holder.ledger.reserve(TestEnvironment.request("r3", "a", 500));
		this.holder.advanceMs(50);
		close(closer("closer"), 5_000);
		this.holder.store.deliverDelayedWrites();
		this.holder.advanceMs(5_000);
		assertFalse(late.join().getGranted());
		assertEquals(fold(), expectedAccount(70, 0));
	}

	private void putProcess(Member member, long registration, ProcessRow.State state) {
		String closedBy = (state == ProcessRow.State.CLOSED) ? member.incarnation() : null;
		this.environment.put(ProcessRow.key(member.incarnation()),
				new ProcessRow(member.withRegistration(registration), state, closedBy));
	}

	private static Member agent(String incarnation, long fence) {
		return new Member(incarnation, Member.Role.AGENT, "host:1", "host", "region", "zone", "site", "server", fence,
				0);
	}

	private void loseFirstAgent() {
		FakeAgents.FakeAgent agent = this.agents.agent("agent-1");
		agent.running.clear();
		agent.lost = true;
		this.holder.ledger.agentEnded("agent-1");
	}

	private static Receipt takenOver(String requestId, long tokens) {
		return TestEnvironment.receipt(requestId, "a", "h1", 0)
			.toBuilder()
			.setHeldTokens(tokens)
			.setStatus(ReceiptStatus.TAKEN_OVER)
			.build();
	}

	private void reserve(String requestId, long tokens) {
		CompletableFuture<ReserveResponse> answer = this.holder.ledger
			.reserve(TestEnvironment.request(requestId, "a", tokens));
		this.holder.advanceMs(100);
		assertTrue(answer.join().getGranted());
	}

	private void execute(String requestId, String agent, long tokens) {
		reserve(requestId, tokens);
		assertTrue(this.agents.agent(agent).start(TestEnvironment.receipt(requestId, "a", "h1", tokens)));
	}

	private void settle(Receipt receipt) {
		this.holder.ledger.settle(SettleRequest.newBuilder().addReceipts(receipt).build());
		this.holder.advanceMs(0);
	}

	private ProcessCloser closer(String incarnation) {
		return new ProcessCloser(incarnation, this.store, this.control, this.agents, this.agents);
	}

	private CompletableFuture<Void> close(ProcessCloser closer, long ms) {
		CompletableFuture<Void> closed = closer.closeProcess("h1");
		this.control.advance(Duration.ofMillis(ms));
		return closed;
	}

	/**
	 * Has another holder read the account row, which folds the grant of the closed one.
	 * @return the account row afterwards
	 */
	private Account fold() {
		TestEnvironment.Holder other = this.environment.holder("h2", new FixedGrantPolicy(100));
		other.ledger.reserve(TestEnvironment.request("fold", "a", 10_000));
		other.advanceMs(1_000);
		return this.environment.account("a");
	}

	private static Account expectedAccount(long settledTokens, long heldTokens) {
		return new Account("a", "workspace", 3, 1_000, settledTokens, heldTokens, Map.of());
	}

}
