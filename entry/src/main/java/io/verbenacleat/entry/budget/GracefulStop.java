package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.WriteOutcome;
import io.verbenacleat.proto.v1.ReserveRefusal;

/**
 * Stops a ledger gracefully: waits for open reservations, writes the journal, returns the
 * grants and closes the process row of this holder. Each step is retried until the
 * timeout. Used on the control thread only.
 */
final class GracefulStop {

	private static final Duration STEP_INTERVAL = Duration.ofMillis(100);

	private final LedgerState ledger;

	private final TableStore store;

	private final ControlThread control;

	private final Admission admission;

	private final ReceiptJournal journal;

	private final ClosingTransaction closing;

	private final CompletableFuture<Boolean> done = new CompletableFuture<>();

	GracefulStop(LedgerState ledger, TableStore store, ControlThread control, Admission admission,
			ReceiptJournal journal) {
		this.ledger = ledger;
		this.store = store;
		this.control = control;
		this.admission = admission;
		this.journal = journal;
		this.closing = new ClosingTransaction(store);
	}

	CompletableFuture<Boolean> start(Duration timeout) {
		if (!this.ledger.stopping) {
			this.ledger.stopping = true;
			this.ledger.accounts.values()
				.forEach((state) -> this.admission.refuseAll(state, ReserveRefusal.HOLDER_NOT_OPEN));
			this.control.schedule(timeout, () -> this.done.complete(false));
			step();
		}
		return this.done;
	}

	private void step() {
		if (this.done.isDone()) {
			return;
		}
		if (this.ledger.process.closed()) {
			this.done.complete(false);
		}
		else if (this.ledger.accounts.values().stream().anyMatch((state) -> !state.reservations.isEmpty())) {
			scheduleStep();
		}
		else if (!this.journal.idle()) {
			this.journal.flush();
			scheduleStep();
		}
		else if (hasUnreturnedGrants()) {
			this.ledger.accounts.values()
				.stream()
				.filter(GracefulStop::returnable)
				.toList()
				.forEach((state) -> this.admission.writer().start(state, true));
			scheduleStep();
		}
		else {
			closeProcess();
		}
	}

	private void scheduleStep() {
		this.control.schedule(STEP_INTERVAL, this::step);
	}

	private boolean hasUnreturnedGrants() {
		return this.ledger.accounts.values().stream().anyMatch((state) -> state.writing || returnable(state));
	}

	private static boolean returnable(AccountState state) {
		return state.grantedTokens > 0 && state.removable();
	}

	private void closeProcess() {
		this.ledger.closing = true;
		this.store.read(List.of(this.ledger.process.key(), Head.KEY)).whenCompleteAsync((rows, failure) -> {
			if (rows == null) {
				scheduleStep();
			}
			else if (!rows.get(0).exists() || !this.ledger.process.observe(rows.get(0))) {
				this.done.complete(false);
			}
			else {
				send(rows.get(0), rows.get(1));
			}
		}, this.control);
	}

	private void send(Row process, Row head) {
		this.closing.send(process, head, this.journal.finalRow(), this.ledger.incarnation)
			.whenCompleteAsync((outcome, failure) -> {
				if (outcome instanceof WriteOutcome.Applied) {
					this.ledger.process.markClosed();
					this.done.complete(true);
				}
				else {
					this.control.schedule(STEP_INTERVAL, this::readBack);
				}
			}, this.control);
	}

	/**
	 * Finds out whether a transaction of unknown outcome closed the process: the process
	 * row then has this holder as the closer.
	 */
	private void readBack() {
		this.store.read(this.ledger.process.key()).whenCompleteAsync((row, failure) -> {
			if (row != null && closedByItself(row)) {
				this.ledger.process.markClosed();
				this.done.complete(true);
			}
			else {
				step();
			}
		}, this.control);
	}

	private boolean closedByItself(Row row) {
		return ProcessRows.parse(row)
			.filter((process) -> this.ledger.incarnation.equals(process.closedBy()))
			.isPresent();
	}

}
