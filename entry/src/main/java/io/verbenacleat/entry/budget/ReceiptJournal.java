package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * Writes the receipts of one holder to the journal in batches, with one write in flight.
 * Used on the control thread only.
 * <p>
 * Each row is inserted on condition that the process row is still open, so a closed
 * holder can write no row. A write of unknown outcome is repeated unchanged; when its key
 * exists by then, the first attempt was applied.
 */
final class ReceiptJournal {

	/** Limit of the backoff for a slow store: 370 holders write 74 rows/s at 5 s. */
	private static final Duration MAX_INTERVAL = Duration.ofSeconds(5);

	private static final Duration INTERVAL = Duration.ofSeconds(2);

	private static final int MAX_BATCH = 500;

	private static final long SLOW_WRITE_MS = 500;

	private final String holder;

	private final TableStore store;

	private final ControlThread control;

	private final HolderProcess process;

	private final BudgetMetrics metrics;

	private final int maxPending;

	private final Consumer<List<JournalReceipt>> listener;

	private final Deque<JournalReceipt> pending = new ArrayDeque<>();

	private final Set<String> accountedAgents = new LinkedHashSet<>();

	private Map<String, Long> spentByAccount = new HashMap<>();

	private Map<String, Long> heldByAccount = new HashMap<>();

	private Duration interval = INTERVAL;

	private long sequence = 1;

	private boolean scheduled;

	private boolean writing;

	ReceiptJournal(String holder, TableStore store, ControlThread control, HolderProcess process, BudgetMetrics metrics,
			int maxPending, Consumer<List<JournalReceipt>> listener) {
		this.holder = holder;
		this.store = store;
		this.control = control;
		this.process = process;
		this.metrics = metrics;
		this.maxPending = maxPending;
		this.listener = listener;
	}

	void add(JournalReceipt receipt) {
		this.pending.add(receipt);
		schedule();
	}

	/**
	 * Lists an agent as accounted for in the next row that leaves no receipt pending.
	 * @param agent the agent incarnation
	 */
	void addAccountedAgent(String agent) {
		this.accountedAgents.add(agent);
		schedule();
	}

	/**
	 * Returns whether so many receipts are pending that requests must be refused.
	 * @return {@code true} when the limit is reached
	 */
	boolean full() {
		return this.pending.size() >= this.maxPending;
	}

	int pendingCount() {
		return this.pending.size();
	}

	/**
	 * Returns whether all receipts and accounted agents are written and no write is in
	 * flight.
	 * @return {@code true} when a flush would do nothing
	 */
	boolean idle() {
		return !this.writing && !hasContent();
	}

	Duration interval() {
		return this.interval;
	}

	/**
	 * Writes the next batch now, unless a write is in flight.
	 */
	void flush() {
		if (this.writing || !hasContent() || this.process.closed()) {
			return;
		}
		this.writing = true;
		if (this.process.confirmedOpen()) {
			writeBatch();
		}
		else {
			this.store.read(this.process.key()).whenCompleteAsync((row, failure) -> {
				if (row != null && this.process.observe(row)) {
					writeBatch();
				}
				else {
					failed();
				}
			}, this.control);
		}
	}

	/**
	 * Returns the totals of all accounts, for the final row.
	 * @return a row without receipts
	 */
	JournalRow finalRow() {
		return new JournalRow(List.of(), this.spentByAccount, this.heldByAccount);
	}

	private boolean hasContent() {
		return !this.pending.isEmpty() || !this.accountedAgents.isEmpty();
	}

	private void schedule() {
		if (!this.scheduled && !this.process.closed()) {
			this.scheduled = true;
			this.control.schedule(this.interval, () -> {
				this.scheduled = false;
				flush();
				if (hasContent()) {
					schedule();
				}
			});
		}
	}

	private void writeBatch() {
		List<JournalReceipt> receipts = this.pending.stream().limit(MAX_BATCH).toList();
		Map<String, Long> spent = new HashMap<>(this.spentByAccount);
		Map<String, Long> held = new HashMap<>(this.heldByAccount);
		for (JournalReceipt receipt : receipts) {
			spent.merge(receipt.account(), receipt.billedTokens(), Long::sum);
			held.merge(receipt.account(), receipt.heldTokens(), Long::sum);
		}
		List<String> agents = (receipts.size() == this.pending.size()) ? List.copyOf(this.accountedAgents) : List.of();
		String key = JournalRow.key(this.holder, this.sequence);
		Transaction transaction = Transaction.builder()
			.insert(key, Json.write(row(receipts, spent, held, agents)))
			.require(this.process.key(), this.process.openVersion())
			.build();
		send(new Batch(key, receipts, spent, held, agents, transaction), false);
	}

	private static JournalRow row(List<JournalReceipt> receipts, Map<String, Long> spent, Map<String, Long> held,
			List<String> accountedAgents) {
		Map<String, Long> batchSpent = new HashMap<>();
		Map<String, Long> batchHeld = new HashMap<>();
		for (JournalReceipt receipt : receipts) {
			batchSpent.put(receipt.account(), spent.getOrDefault(receipt.account(), 0L));
			batchHeld.put(receipt.account(), held.getOrDefault(receipt.account(), 0L));
		}
		return new JournalRow(receipts, batchSpent, batchHeld, false, List.of(), accountedAgents);
	}

	private void send(Batch batch, boolean uncertain) {
		long sentAtMs = this.control.clock().millis();
		this.store.transact(batch.transaction).thenAcceptAsync((outcome) -> {
			if (outcome instanceof WriteOutcome.Applied) {
				boolean slow = this.control.clock().millis() - sentAtMs > SLOW_WRITE_MS;
				this.interval = (slow) ? longerInterval() : INTERVAL;
				applied(batch);
			}
			else if (outcome instanceof WriteOutcome.Conflict conflict) {
				conflict(batch, conflict, uncertain);
			}
			else if (outcome instanceof WriteOutcome.Unknown) {
				this.metrics.unknownOutcomes.inc();
				resendLater(batch, true);
			}
			else if (uncertain) {
				resendLater(batch, true);
			}
			else {
				failed();
			}
		}, this.control);
	}

	private void conflict(Batch batch, WriteOutcome.Conflict conflict, boolean uncertain) {
		this.metrics.conflicts.inc();
		if (uncertain && conflict.versions().containsKey(batch.key)) {
			applied(batch);
		}
		else {
			this.writing = false;
		}
		// Only this holder inserts its journal rows, so any other conflict means that its
		// process row was changed.
		if (!uncertain || conflict.versions().containsKey(this.process.key())) {
			this.process.markClosed();
		}
	}

	private void resendLater(Batch batch, boolean uncertain) {
		this.interval = longerInterval();
		this.control.schedule(this.interval, () -> send(batch, uncertain));
	}

	private void applied(Batch batch) {
		this.writing = false;
		this.sequence++;
		this.spentByAccount = batch.spent;
		this.heldByAccount = batch.held;
		for (int i = 0; i < batch.receipts.size(); i++) {
			this.pending.remove();
		}
		batch.accountedAgents.forEach(this.accountedAgents::remove);
		this.metrics.journalRows.inc();
		this.listener.accept(new ArrayList<>(batch.receipts));
		if (this.pending.size() >= MAX_BATCH) {
			flush();
		}
	}

	private void failed() {
		this.writing = false;
		this.interval = longerInterval();
	}

	private Duration longerInterval() {
		Duration doubled = this.interval.multipliedBy(2);
		return (doubled.compareTo(MAX_INTERVAL) > 0) ? MAX_INTERVAL : doubled;
	}

	private record Batch(String key, List<JournalReceipt> receipts, Map<String, Long> spent, Map<String, Long> held,
			List<String> accountedAgents, Transaction transaction) {
	}

}
