package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.Grant;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Writes account rows, with one write in flight for each account. Used on the control
 * thread only.
 * <p>
 * Each write has the versions of the account row and of the open process row as
 * conditions, so a closed holder can no longer change its grant. Returned tokens are
 * unusable from the moment the write is sent; added tokens are usable once the write is
 * known to be applied.
 */
final class GrantWriter {

	/** Consecutive conflicts after which the waiting reservations are decided. */
	private static final int MAX_ATTEMPTS = 8;

	private static final Duration READ_BACK_DELAY = Duration.ofMillis(200);

	private final String holder;

	private final TableStore store;

	private final ControlThread control;

	private final HolderProcess process;

	private final FinalRowCache finalRows;

	private final GrantPlanner planner;

	private final BudgetMetrics metrics;

	private final BiConsumer<AccountState, Result> listener;

	GrantWriter(String holder, TableStore store, ControlThread control, HolderProcess process, GrantPlanner planner,
			BudgetMetrics metrics, BiConsumer<AccountState, Result> listener) {
		this.holder = holder;
		this.store = store;
		this.control = control;
		this.process = process;
		this.finalRows = new FinalRowCache(store, control);
		this.planner = planner;
		this.metrics = metrics;
		this.listener = listener;
	}

	/**
	 * Reads the account row and writes the plan of the {@link GrantPlanner}. Does nothing
	 * while a write of the account is in flight.
	 * @param state the account
	 * @param returnAll whether to remove a grant at once when nothing uses it
	 */
	void start(AccountState state, boolean returnAll) {
		if (!state.writing) {
			state.writing = true;
			read(new Attempt(state, returnAll, 1));
		}
	}

	private void read(Attempt attempt) {
		this.store.read(List.of(Account.key(attempt.state.id), this.process.key()))
			.whenCompleteAsync((rows, failure) -> {
				if (failure != null || rows == null) {
					finish(attempt.state, Result.UNREACHABLE);
				}
				else if (!this.process.observe(rows.get(1))) {
					finish(attempt.state, Result.NOT_OPEN);
				}
				else {
					findFinalRows(attempt, rows.get(0));
				}
			}, this.control);
	}

	private void findFinalRows(Attempt attempt, Row row) {
		Account account = parse(row);
		if (account == null) {
			finish(attempt.state, Result.NO_ACCOUNT);
			return;
		}
		List<String> otherHolders = new ArrayList<>(account.grants().keySet());
		otherHolders.remove(this.holder);
		this.finalRows.find(otherHolders)
			.thenAccept((closedRows) -> write(attempt, account, row.version(), closedRows))
			.whenComplete((done, failure) -> {
				if (failure != null) {
					finish(attempt.state, Result.UNREACHABLE);
				}
			});
	}

	private void write(Attempt attempt, Account account, long version, Map<String, JournalRow> closedRows) {
		AccountState state = attempt.state;
		state.sequence++;
		GrantPlan plan = this.planner.plan(state, account, closedRows, attempt.returnAll);
		if (!plan.write()) {
			state.row = account;
			finish(state, Result.DECIDED);
			return;
		}
		Transaction transaction = Transaction.builder()
			.putIf(Account.key(state.id), version, Json.write(plan.row()))
			.require(this.process.key(), this.process.openVersion())
			.build();
		Write write = new Write(attempt, plan, state.grantedTokens, state.sequence, version, transaction);
		state.grantedTokens = Math.min(state.grantedTokens, plan.grantedTokens());
		send(write);
	}

	private void send(Write write) {
		this.store.transact(write.transaction).thenAcceptAsync((outcome) -> {
			if (outcome instanceof WriteOutcome.Applied) {
				applied(write);
			}
			else if (outcome instanceof WriteOutcome.Unknown) {
				this.metrics.unknownOutcomes.inc();
				write.outcomeUnknown = true;
				readBackLater(write);
			}
			else if (write.outcomeUnknown) {
				readBackLater(write);
			}
			else if (outcome instanceof WriteOutcome.Conflict conflict) {
				conflict(write, conflict);
			}
			else {
				rollBack(write);
				finish(write.attempt.state, Result.UNREACHABLE);
			}
		}, this.control);
	}

	private void conflict(Write write, WriteOutcome.Conflict conflict) {
		this.metrics.conflicts.inc();
		rollBack(write);
		if (conflict.versions().containsKey(this.process.key())) {
			this.process.markClosed();
			finish(write.attempt.state, Result.NOT_OPEN);
		}
		else {
			retry(write.attempt);
		}
	}

	private void retry(Attempt attempt) {
		if (attempt.number >= MAX_ATTEMPTS) {
			finish(attempt.state, Result.CONTENDED);
		}
		else {
			read(new Attempt(attempt.state, attempt.returnAll, attempt.number + 1));
		}
	}

	private void readBackLater(Write write) {
		readBack(write, () -> this.control.schedule(READ_BACK_DELAY, () -> readBackLater(write)));
	}

	private void readBack(Write write, Runnable retry) {
		AccountState state = write.attempt.state;
		this.store.read(List.of(Account.key(state.id), this.process.key())).whenCompleteAsync((rows, failure) -> {
			Account account = (failure == null && rows != null) ? parse(rows.get(0)) : null;
			if (rows == null || account == null) {
				retry.run();
			}
			else if (!this.process.observe(rows.get(1))) {
				finish(state, Result.NOT_OPEN);
			}
			else if (write.visibleIn(account, this.holder)) {
				applied(write);
			}
			else if (rows.get(0).version() == write.version) {
				// The first attempt may still be applied. A repetition is safe, since
				// both have the same row version as a condition.
				this.control.schedule(READ_BACK_DELAY, () -> send(write));
			}
			else {
				rollBack(write);
				retry(write.attempt);
			}
		}, this.control);
	}

	private void applied(Write write) {
		AccountState state = write.attempt.state;
		GrantPlan plan = write.plan;
		long changeTokens = plan.grantedTokens() - write.grantedBeforeTokens;
		this.metrics.renewals.inc();
		this.metrics.grantedTokens.inc(Math.max(0, changeTokens));
		this.metrics.returnedTokens.inc(Math.max(0, -changeTokens));
		state.grantedTokens = plan.grantedTokens();
		state.row = plan.row();
		if (plan.removal() != null) {
			state.applyRemoval(plan.removal());
		}
		finish(state, Result.DECIDED);
	}

	private static void rollBack(Write write) {
		write.attempt.state.grantedTokens = write.grantedBeforeTokens;
	}

	private void finish(AccountState state, Result result) {
		state.writing = false;
		this.listener.accept(state, result);
	}

	private static @Nullable Account parse(Row row) {
		try {
			return (row.exists()) ? Json.read(row.json(), Account.class) : null;
		}
		catch (JsonFormatException ex) {
			return null;
		}
	}

	/**
	 * The result of an attempt to write an account row.
	 */
	enum Result {

		/** The grant was decided on the basis of the current row. */
		DECIDED,

		/** The table store did not answer. */
		UNREACHABLE,

		/** Other writers changed the row during each attempt. */
		CONTENDED,

		/** The account does not exist. */
		NO_ACCOUNT,

		/** The process row of this holder is not open. */
		NOT_OPEN

	}

	private record Attempt(AccountState state, boolean returnAll, int number) {
	}

	private static final class Write {

		private final Attempt attempt;

		private final GrantPlan plan;

		private final long grantedBeforeTokens;

		private final long sequence;

		private final long version;

		private final Transaction transaction;

		/**
		 * Whether an answer was lost, so that only a read shows if the write was applied.
		 */
		private boolean outcomeUnknown;

		private Write(Attempt attempt, GrantPlan plan, long grantedBeforeTokens, long sequence, long version,
				Transaction transaction) {
			this.attempt = attempt;
			this.plan = plan;
			this.grantedBeforeTokens = grantedBeforeTokens;
			this.sequence = sequence;
			this.version = version;
			this.transaction = transaction;
		}

		private boolean visibleIn(Account account, String holder) {
			Grant grant = account.grant(holder);
			if (this.plan.removal() != null) {
				return grant == null;
			}
			return grant != null && grant.sequence() == this.sequence;
		}

	}

}
