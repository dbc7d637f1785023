package io.verbenacleat.entry.member;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import io.verbenacleat.core.account.CallerChanges;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.head.HeadPoller;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.entry.budget.BudgetLedger;

/**
 * Tells the ledger which accounts' callers have changed. Used on the control thread.
 */
public final class CallersController {

	private final TableStore store;

	private final ControlThread control;

	private final BudgetLedger ledger;

	private long seenNumber;

	/**
	 * Creates a controller and sets it as the reader of its topic.
	 * @param store the table store
	 * @param control the control thread
	 * @param ledger the ledger, which caches callers
	 * @param poller the poller
	 */
	public CallersController(TableStore store, ControlThread control, BudgetLedger ledger, HeadPoller poller) {
		this.store = store;
		this.control = control;
		this.ledger = ledger;
		poller.onTopic(Head.CALLERS, (topic) -> read());
	}

	private CompletableFuture<?> read() {
		return this.store.read(CallerChanges.KEY).thenAcceptAsync(this::invalidate, this.control);
	}

	private void invalidate(Row row) {
		if (!row.exists()) {
			return;
		}
		CallerChanges changes;
		try {
			changes = Json.read(row.json(), CallerChanges.class);
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException("The row " + row.key() + " has a wrong form", ex);
		}
		if (changes.changes().isEmpty()) {
			return;
		}
		if (changes.changes().get(0).number() > this.seenNumber + 1) {
			this.ledger.invalidateAllCallers();
		}
		else {
			this.ledger.invalidateCallers(changedSince(changes));
		}
		this.seenNumber = changes.changes().get(changes.changes().size() - 1).number();
	}

	private Set<String> changedSince(CallerChanges changes) {
		return changes.changes()
			.stream()
			.filter((change) -> change.number() > this.seenNumber)
			.map(CallerChanges.Change::accountId)
			.collect(Collectors.toSet());
	}

}
