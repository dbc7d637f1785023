package io.verbenacleat.entry.budget;

import java.util.ArrayList;

import io.verbenacleat.core.control.ControlThread;

/**
 * Returns idle grants, writes new totals to the account rows, and refreshes the gauges.
 * Runs on the control thread; gauges are read by other threads.
 */
final class LedgerMaintenance {

	private final LedgerState ledger;

	private final ControlThread control;

	private final GrantPolicy policy;

	private final GrantWriter writer;

	private final ReceiptJournal journal;

	private volatile long accountsHeld;

	private volatile long reservedTokens;

	private volatile long pendingReceipts;

	LedgerMaintenance(LedgerState ledger, ControlThread control, GrantPolicy policy, GrantWriter writer,
			ReceiptJournal journal, BudgetMetrics metrics) {
		this.ledger = ledger;
		this.control = control;
		this.policy = policy;
		this.writer = writer;
		this.journal = journal;
		metrics.gauge("accounts_held", "Accounts with a grant", () -> this.accountsHeld);
		metrics.gauge("reserved_tokens", "Tokens reserved for requests in progress", () -> this.reservedTokens);
		metrics.gauge("receipts_not_durable", "Receipts that wait for the journal", () -> this.pendingReceipts);
	}

	void run() {
		long accounts = 0;
		long reserved = 0;
		for (AccountState state : new ArrayList<>(this.ledger.accounts.values())) {
			accounts += (state.grantedTokens > 0) ? 1 : 0;
			reserved += state.reservedTokens();
			if (!this.ledger.process.closed() && needsWrite(state)) {
				this.writer.start(state, false);
			}
			if (state.discardable() && unused(state)) {
				this.ledger.accounts.remove(state.id);
			}
		}
		this.accountsHeld = accounts;
		this.reservedTokens = reserved;
		this.pendingReceipts = this.journal.pendingCount();
	}

	private boolean needsWrite(AccountState state) {
		if (state.writing || (state.grantedTokens == 0 && state.freeTokens() >= 0)) {
			return false;
		}
		long ungrantedTokens = (state.row != null) ? Math.max(0, state.row.ungrantedTokens()) : 0;
		GrantDemand demand = new GrantDemand(state.rate.perSecond(this.control.clock().millis()), state.freeTokens(), 0,
				ungrantedTokens);
		return state.freeTokens() < 0 || (unused(state) && state.removable())
				|| (state.freeTokens() > 0 && this.policy.returnedTokens(demand) > 0)
				|| state.isRowOutdated(this.ledger.incarnation);
	}

	private boolean unused(AccountState state) {
		return this.control.clock().millis() - state.lastUsedAtMs >= GrantPlanner.UNUSED_AFTER_MS;
	}

}
