package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.member.Member;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ReceiptJournalTests {

	private final TestEnvironment environment = new TestEnvironment();

	private final FaultyTableStore store = new FaultyTableStore(this.environment.store);

	private final ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	// Guards against a row that lists an agent while receipts of its requests are left
	// for a later row, which a closed holder never writes.
	@Test
	void listsAnAccountedAgentOnlyInTheLastPendingRow() {
		this.environment.register("h1", Member.Role.ENTRY);
		ReceiptJournal journal = new ReceiptJournal("h1", this.store, this.control, new HolderProcess("h1"),
				new BudgetMetrics(new PrometheusRegistry()), 10_000, (receipts) -> {
				});
		for (int i = 0; i < 1_100; i++) {
			journal.add(JournalReceipt.of(TestEnvironment.receipt("r" + i, "a", "h1", 1)));
		}
		journal.addAccountedAgent("agent-1");
		// The first row is written, but its answer is lost.
		this.store.loseNextAnswers(1);
		this.control.advance(Duration.ofSeconds(2));
		assertEquals(row(1).receipts().size(), 500);
		assertEquals(row(1).accountedAgents(), List.of());
		assertFalse(this.environment.exists(JournalRow.key("h1", 2)));
		this.control.advance(Duration.ofSeconds(30));
		assertEquals(row(2).receipts().size(), 500);
		assertEquals(row(2).accountedAgents(), List.of());
		assertEquals(row(2).spentByAccount(), Map.of("a", 1_000L));
		assertEquals(row(3).receipts().size(), 100);
		assertEquals(row(3).accountedAgents(), List.of("agent-1"));
		assertEquals(row(3).spentByAccount(), Map.of("a", 1_100L));
		assertTrue(journal.idle());
		assertEquals(this.environment.receipts().stream().map(JournalReceipt::requestId).distinct().count(), 1_100);
	}

	private JournalRow row(long sequence) {
		return this.environment.get(JournalRow.key("h1", sequence), JournalRow.class);
	}

}
