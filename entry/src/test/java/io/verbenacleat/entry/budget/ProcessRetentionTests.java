package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveResponse;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ProcessRetentionTests {

	private static final JournalRow EMPTY = new JournalRow(List.of(), Map.of(), Map.of());

	private TestEnvironment environment = new TestEnvironment();

	private FakeAgents agents = new FakeAgents(this.environment);

	private ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private boolean isLeader;

	@BeforeMethod
	void setUp() {
		this.environment = new TestEnvironment();
		this.environment.addAccount("a", 1_000);
		this.agents = new FakeAgents(this.environment);
		this.agents.add("agent-1");
		this.control = new ManualControlThread(Instant.EPOCH);
		this.isLeader = true;
		new ProcessRetention("self", this.environment.store, this.control, this.agents, this.agents,
				() -> this.isLeader);
	}

	// Guards against deleting the row of a process that may register again, and
	// against deletions by an entry that is not the leader.
	@Test
	void deletesOnlyProcessesThatCannotRegisterAgain() {
		putClosed("h1", "entry:9", 10, "other");
		putClosed("h2", "entry:8", 11, "h2");
		this.isLeader = false;
		advanceHours(3);
		assertTrue(exists("h2"));
		this.isLeader = true;
		advanceHours(3);
		assertTrue(exists("h1"));
		assertFalse(exists("h2"));
		assertFalse(this.environment.exists(JournalRow.finalKey("h2")));
		putClosed("h3", "entry:9", 12, "h3");
		advanceHours(3);
		assertFalse(exists("h1"));
	}

	// Guards against a paused holder that resumes after its row was deleted and still
	// considers itself open.
	@Test
	void aHolderWhoseRowWasDeletedIsClosed() {
		TestEnvironment.Holder holder = this.environment.holder("h1", new FixedGrantPolicy(100));
		CompletableFuture<ReserveResponse> first = holder.ledger.reserve(TestEnvironment.request("r1", "a", 10));
		holder.advanceMs(100);
		assertTrue(first.join().getGranted());
		this.environment.store
			.transact(Transaction.builder()
				.deleteIf(ProcessRow.key("h1"), this.environment.store.read(ProcessRow.key("h1")).join().version())
				.build())
			.join();
		CompletableFuture<ReserveResponse> second = holder.ledger.reserve(TestEnvironment.request("r2", "a", 500));
		holder.advanceMs(1_000);
		assertEquals(second.join().getRefusal(), ReserveRefusal.HOLDER_NOT_OPEN);
	}

	// Guards against the loss of bills that only the final row contains.
	@Test
	void keepsFinalRowsWithReceipts() {
		putClosed("h1", "entry:9", 10, "h1");
		JournalReceipt bill = JournalReceipt.of(TestEnvironment.receipt("r1", "a", "h1", 5));
		this.environment.put(JournalRow.finalKey("h1"), new JournalRow(List.of(bill), Map.of("a", 5L), Map.of()));
		advanceHours(3);
		assertFalse(exists("h1"));
		assertEquals(this.environment.receipts(), List.of(bill));
	}

	// Guards against a burst of deletions that loads the table service.
	@Test
	void deletesOneProcessAMinute() {
		for (int i = 0; i < 20; i++) {
			putClosed("h" + i, "entry:9", 10 + i, "h" + i);
		}
		this.control.advance(Duration.ofMinutes(6));
		assertEquals(this.environment.closedProcesses().size(), 15);
	}

	// Guards against rows of crashed agents that accumulate, and against deleting the
	// row of an agent that may have run orders of a lost entry, since its closer then
	// cannot find the agent.
	@Test
	void deletesCrashedAgentsWhenNoEntryOfTheirTimeIsOpen() {
		putAgent("crashed", "agent:1", 1, 20);
		putAgent("present", "agent:1", 2, 30);
		putAgent("cut-off", "agent:2", 1, 20);
		putAgent("elsewhere", "agent:3", 2, 30);
		put("h1", "entry:9", 25, ProcessRow.State.OPEN, null);
		put("h2", "entry:8", 40, ProcessRow.State.OPEN, null);
		advanceHours(3);
		assertTrue(exists("crashed"));
		put("h1", "entry:9", 25, ProcessRow.State.CLOSING, "h2");
		advanceHours(3);
		assertTrue(exists("crashed"));
		put("h1", "entry:9", 25, ProcessRow.State.CLOSED, "h2");
		advanceHours(3);
		assertFalse(exists("crashed"));
		assertTrue(exists("present"));
		assertTrue(exists("cut-off"));
		assertTrue(exists("elsewhere"));
	}

	private void putAgent(String incarnation, String address, long fence, long registration) {
		String server = (address.equals("agent:1")) ? "engine-1" : "engine-2";
		Member member = new Member(incarnation, Member.Role.AGENT, address, "host", "region", "zone", "site", server,
				fence, 0);
		this.environment.put(ProcessRow.key(incarnation),
				new ProcessRow(member.withRegistration(registration), ProcessRow.State.OPEN, null));
	}

	private void put(String incarnation, String address, long registration, ProcessRow.State state,
			@Nullable String closedBy) {
		Member member = new Member(incarnation, Member.Role.ENTRY, address, "host", "region", "zone", "site", null, 0,
				0);
		this.environment.put(ProcessRow.key(incarnation),
				new ProcessRow(member.withRegistration(registration), state, closedBy));
	}

	private void putClosed(String incarnation, String address, long registration, String closedBy) {
		put(incarnation, address, registration, ProcessRow.State.CLOSED, closedBy);
		this.environment.put(JournalRow.finalKey(incarnation), EMPTY);
	}

	private boolean exists(String incarnation) {
		return this.environment.exists(ProcessRow.key(incarnation));
	}

	private void advanceHours(long hours) {
		this.control.advance(Duration.ofHours(hours));
	}

}
