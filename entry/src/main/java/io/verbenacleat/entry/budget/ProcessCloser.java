package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import io.verbenacleat.proto.v1.CloseProcessResponse;
import io.verbenacleat.proto.v1.Receipt;
import org.jspecify.annotations.Nullable;

/**
 * Closes lost processes: fences them, collects the receipts that agents still have for
 * them, and writes their final rows. Safe for use by several threads; all state is
 * confined to the control thread.
 * <p>
 * Each step starts from the current rows, so any closer can continue the work of another,
 * and a lost answer needs no special treatment. When an agent was lost, the final row
 * marks the rest of each grant of the process as held, since the agent may have spent it
 * on requests whose receipts are lost. Agents that the journal of the process lists as
 * accounted for are left out (see {@link EndedAgentTracker}).
 */
public final class ProcessCloser implements AutoCloseable {

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private final String incarnation;

	private final TableStore store;

	private final ControlThread control;

	private final CloseProcessRound closeRound;

	private final JournalReader journalReader;

	private final ClosingTransaction closing;

	private final Map<String, CloseTask> tasks = new HashMap<>();

	private boolean stopped;

	/**
	 * Creates a closer.
	 * @param incarnation the incarnation of this process
	 * @param store the table store
	 * @param control the control thread
	 * @param agents the calls to agents
	 * @param lostAgents determines which agents are lost
	 */
	public ProcessCloser(String incarnation, TableStore store, ControlThread control, AgentControl agents,
			LostAgents lostAgents) {
		this.incarnation = incarnation;
		this.store = store;
		this.control = control;
		this.closeRound = new CloseProcessRound(store, control, agents, lostAgents);
		this.journalReader = new JournalReader(store, control);
		this.closing = new ClosingTransaction(store);
	}

	/**
	 * Closes a process, with retries and without a time limit. A second call for the same
	 * process returns the same future while the first is in progress.
	 * @param process the incarnation to close
	 * @return completes when the process row is absent or closed, by this closer or
	 * another
	 */
	public CompletableFuture<Void> closeProcess(String process) {
		return this.control.submit(() -> this.tasks.computeIfAbsent(process, this::start).done)
			.thenCompose((done) -> done);
	}

	/**
	 * Stops all work without completing it; another closer can continue.
	 */
	@Override
	public void close() {
		this.control.execute(() -> this.stopped = true);
	}

	private CloseTask start(String process) {
		CloseTask task = new CloseTask(process);
		this.control.execute(() -> attempt(task));
		return task;
	}

	private void retry(CloseTask task) {
		this.control.schedule(RETRY_DELAY, () -> attempt(task));
	}

	private void attempt(CloseTask task) {
		if (this.stopped) {
			return;
		}
		this.store.read(List.of(ProcessRow.key(task.process), Head.KEY)).whenCompleteAsync((rows, failure) -> {
			if (rows == null) {
				retry(task);
			}
			else {
				advance(task, rows.get(0), rows.get(1));
			}
		}, this.control);
	}

	private void advance(CloseTask task, Row row, Row head) {
		ProcessRow process = ProcessRows.parse(row).orElse(null);
		if (process == null || process.state() == ProcessRow.State.CLOSED) {
			this.tasks.remove(task.process);
			task.done.complete(null);
		}
		else if (process.state() == ProcessRow.State.OPEN) {
			fence(task, row, process);
		}
		else if (process.member().role() == Member.Role.AGENT) {
			writeFinalRow(task, row, head, new JournalRow(List.of(), Map.of(), Map.of()));
		}
		else {
			callAgents(task, row, head, process.member());
		}
	}

	private void fence(CloseTask task, Row row, ProcessRow process) {
		Transaction transaction = Transaction.builder()
			.putIf(row.key(), row.version(), Json.write(process.withState(ProcessRow.State.CLOSING, this.incarnation)))
			.build();
		this.store.transact(transaction).thenAcceptAsync((outcome) -> retryAfter(task, outcome), this.control);
	}

	private void callAgents(CloseTask task, Row row, Row head, Member process) {
		this.closeRound.run(process, this.incarnation).whenCompleteAsync((round, failure) -> {
			if (round == null) {
				retry(task);
				return;
			}
			round.responses.forEach((response) -> task.addReceipts(response));
			if (round.complete()) {
				readJournal(task, row, head, round.lostIncarnations);
			}
			else {
				retry(task);
			}
		}, this.control);
	}

	private void readJournal(CloseTask task, Row row, Row head, List<String> lost) {
		FinalTotals totals = new FinalTotals(task.receipts);
		this.journalReader.read(task.process, totals::addRow).whenCompleteAsync((done, failure) -> {
			if (failure != null) {
				retry(task);
			}
			else {
				writeFinalRow(task, row, head, totals.finalRow(lost));
			}
		}, this.control);
	}

	private void writeFinalRow(CloseTask task, Row row, Row head, JournalRow finalRow) {
		if (!this.stopped) {
			this.closing.send(row, head, finalRow, this.incarnation)
				.whenCompleteAsync((outcome, failure) -> retryAfter(task, outcome), this.control);
		}
	}

	/**
	 * Reads the rows again after a write: at once when it was applied, otherwise after a
	 * delay.
	 * @param task the process being closed
	 * @param outcome the outcome of the write, or {@code null} when it was not sent
	 */
	private void retryAfter(CloseTask task, @Nullable WriteOutcome outcome) {
		if (outcome instanceof WriteOutcome.Applied) {
			attempt(task);
		}
		else {
			retry(task);
		}
	}

	/**
	 * The closing of one process.
	 */
	private static final class CloseTask {

		private final String process;

		private final CompletableFuture<Void> done = new CompletableFuture<>();

		private final Map<String, Receipt> receipts = new LinkedHashMap<>();

		private CloseTask(String process) {
			this.process = process;
		}

		private void addReceipts(CloseProcessResponse response) {
			response.getReceiptsList()
				.stream()
				.filter((receipt) -> receipt.getHolderIncarnation().equals(this.process))
				.forEach((receipt) -> this.receipts.put(receipt.getRequestId(), receipt));
		}

	}

	/**
	 * Adds up the totals of a journal and of the receipts that are not in it.
	 */
	private static final class FinalTotals {

		private final Map<String, Receipt> missing;

		private final Map<String, Long> spent = new HashMap<>();

		private final Map<String, Long> held = new HashMap<>();

		private final Set<String> accountedAgents = new HashSet<>();

		private FinalTotals(Map<String, Receipt> receipts) {
			this.missing = new LinkedHashMap<>(receipts);
		}

		private void addRow(JournalRow row) {
			row.receipts().forEach((receipt) -> this.missing.remove(receipt.requestId()));
			this.spent.putAll(row.spentByAccount());
			this.held.putAll(row.heldByAccount());
			this.accountedAgents.addAll(row.accountedAgents());
		}

		private JournalRow finalRow(List<String> lostAgents) {
			List<String> lost = lostAgents.stream().filter((agent) -> !this.accountedAgents.contains(agent)).toList();
			List<JournalReceipt> receipts = new ArrayList<>();
			for (Receipt receipt : this.missing.values()) {
				receipts.add(JournalReceipt.of(receipt));
				this.spent.merge(receipt.getAccount(), receipt.getBilledTokens(), Long::sum);
				this.held.merge(receipt.getAccount(), receipt.getHeldTokens(), Long::sum);
			}
			return new JournalRow(receipts, this.spent, this.held, !lost.isEmpty(), lost, List.of());
		}

	}

}
