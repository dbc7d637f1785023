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
 * Closes lost processes: fences them, collects the receipts that their agents still have,
 * and writes their final rows. Safe for use by several threads; state is owned by the
 * control thread.
 * <p>
 * Each step starts from the rows as they are, so any closer can continue the work of
 * another, and a lost answer needs no special treatment. When an agent was lost, the
 * final row says that the rest of each grant of the process is held, since the agent may
 * have spent it on requests whose receipts are gone. Agents that the journal of the
 * process names as accounted for are left out (see {@link AgentAccounting}).
 */
public final class ProcessCloser implements AutoCloseable {

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private final String incarnation;

	private final TableStore store;

	private final ControlThread control;

	private final AgentRound agents;

	private final JournalReader journalReader;

	private final ClosingTransaction closing;

	private final Map<String, Closure> closures = new HashMap<>();

	private boolean stopped;

	/**
	 * Creates a closer.
	 * @param incarnation the incarnation of this process
	 * @param store the table store
	 * @param control the control thread
	 * @param agents reaches the agents
	 * @param lostAgents knows which agents are lost
	 */
	public ProcessCloser(String incarnation, TableStore store, ControlThread control, AgentControl agents,
			LostAgents lostAgents) {
		this.incarnation = incarnation;
		this.store = store;
		this.control = control;
		this.agents = new AgentRound(store, control, agents, lostAgents);
		this.journalReader = new JournalReader(store, control);
		this.closing = new ClosingTransaction(store);
	}

	/**
	 * Closes a process, however long it takes; a second call for the same process returns
	 * the same future.
	 * @param process the incarnation to close
	 * @return completes when the process row is closed, by whomever, or absent
	 */
	public CompletableFuture<Void> closeProcess(String process) {
		return this.control.submit(() -> this.closures.computeIfAbsent(process, this::start).done)
			.thenCompose((done) -> done);
	}

	/**
	 * Abandons all work; another closer can continue it.
	 */
	@Override
	public void close() {
		this.control.execute(() -> this.stopped = true);
	}

	private Closure start(String process) {
		Closure closure = new Closure(process);
		this.control.execute(() -> attempt(closure));
		return closure;
	}

	private void retry(Closure closure) {
		this.control.schedule(RETRY_DELAY, () -> attempt(closure));
	}

	private void attempt(Closure closure) {
		if (this.stopped) {
			return;
		}
		this.store.read(List.of(ProcessRow.key(closure.process), Head.KEY)).whenCompleteAsync((rows, failure) -> {
			if (rows == null) {
				retry(closure);
			}
			else {
				advance(closure, rows.get(0), rows.get(1));
			}
		}, this.control);
	}

	private void advance(Closure closure, Row row, Row head) {
		ProcessRow process = ProcessRows.parse(row).orElse(null);
		if (process == null || process.state() == ProcessRow.State.CLOSED) {
			this.closures.remove(closure.process);
			closure.done.complete(null);
		}
		else if (process.state() == ProcessRow.State.OPEN) {
			fence(closure, row, process);
		}
		else if (process.member().role() == Member.Role.AGENT) {
			writeFinal(closure, row, head, new JournalRow(List.of(), Map.of(), Map.of()));
		}
		else {
			askAgents(closure, row, head, process.member());
		}
	}

	private void fence(Closure closure, Row row, ProcessRow process) {
		Transaction transaction = Transaction.builder()
			.putIf(row.key(), row.version(), Json.write(process.with(ProcessRow.State.CLOSING, this.incarnation)))
			.build();
		this.store.transact(transaction).thenAcceptAsync((outcome) -> retryAfter(closure, outcome), this.control);
	}

	private void askAgents(Closure closure, Row row, Row head, Member process) {
		this.agents.run(process, this.incarnation).whenCompleteAsync((round, failure) -> {
			if (round == null) {
				retry(closure);
				return;
			}
			round.responses.forEach((response) -> closure.take(response));
			if (round.complete()) {
				readJournal(closure, row, head, round.lost);
			}
			else {
				retry(closure);
			}
		}, this.control);
	}

	private void readJournal(Closure closure, Row row, Row head, List<String> lost) {
		FinalFigures figures = new FinalFigures(closure.receipts);
		this.journalReader.read(closure.process, figures::take).whenCompleteAsync((done, failure) -> {
			if (failure != null) {
				retry(closure);
			}
			else {
				writeFinal(closure, row, head, figures.finalRow(lost));
			}
		}, this.control);
	}

	private void writeFinal(Closure closure, Row row, Row head, JournalRow last) {
		if (!this.stopped) {
			this.closing.send(row, head, last, this.incarnation)
				.whenCompleteAsync((outcome, failure) -> retryAfter(closure, outcome), this.control);
		}
	}

	/**
	 * Reads the rows again after a write: at once when it took effect, otherwise later.
	 * @param closure the work
	 * @param outcome the outcome of the write, or {@code null} when it was not sent
	 */
	private void retryAfter(Closure closure, @Nullable WriteOutcome outcome) {
		if (outcome instanceof WriteOutcome.Applied) {
			attempt(closure);
		}
		else {
			retry(closure);
		}
	}

	/**
	 * The work on one process.
	 */
	private static final class Closure {

		private final String process;

		private final CompletableFuture<Void> done = new CompletableFuture<>();

		private final Map<String, Receipt> receipts = new LinkedHashMap<>();

		private Closure(String process) {
			this.process = process;
		}

		private void take(CloseProcessResponse response) {
			response.getReceiptsList()
				.stream()
				.filter((receipt) -> receipt.getHolderIncarnation().equals(this.process))
				.forEach((receipt) -> this.receipts.put(receipt.getRequestId(), receipt));
		}

	}

	/**
	 * Adds up a journal and the receipts that are not in it.
	 */
	private static final class FinalFigures {

		private final Map<String, Receipt> missing;

		private final Map<String, Long> spent = new HashMap<>();

		private final Map<String, Long> held = new HashMap<>();

		private final Set<String> accountedAgents = new HashSet<>();

		private FinalFigures(Map<String, Receipt> receipts) {
			this.missing = new LinkedHashMap<>(receipts);
		}

		private void take(JournalRow row) {
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
