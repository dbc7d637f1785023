package io.verbenacleat.entry.budget;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * The state that the parts of a {@link BudgetLedger} share. Used on the control thread
 * only.
 */
final class LedgerState {

	final String incarnation;

	final HolderProcess process;

	final BilledReceipts billedReceipts;

	final Map<String, AccountState> accounts = new HashMap<>();

	final Set<String> closedGateways = new HashSet<>();

	/**
	 * Requests that were released before their reservation was decided. Only messages in
	 * transit matter, so the latest ones suffice.
	 */
	final Cache<String, Boolean> releasedEarly = Caffeine.newBuilder().maximumSize(10_000).build();

	/** Whether reservations are refused because the process is stopping. */
	boolean stopping;

	/** Whether receipts are refused because the closing transaction is being sent. */
	boolean closing;

	LedgerState(String incarnation, int maxDurableReceipts) {
		this.incarnation = incarnation;
		this.process = new HolderProcess(incarnation);
		this.billedReceipts = new BilledReceipts(maxDurableReceipts);
	}

	AccountState account(String id) {
		return this.accounts.computeIfAbsent(id, AccountState::new);
	}

	boolean refusesReceipts() {
		return this.closing || this.process.closed();
	}

	boolean refusesRequests() {
		return this.stopping || this.process.closed();
	}

}
