package io.verbenacleat.router.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.Transaction;

/**
 * One transaction of the ledger, kept until its outcome is known. A retry sends the same
 * transaction with the same conditions, so that it is applied at most once. Confined to
 * the control thread.
 */
final class LedgerWrite {

	private final RouterRow routerRow;

	private final Map<String, RouterRow.Limit> limits;

	private final long sentAtNanos;

	private final Map<String, Long> conditions = new HashMap<>();

	private final List<Change> changes = new ArrayList<>();

	private final Transaction.Builder transaction = Transaction.builder();

	private boolean maybeApplied;

	private boolean repairing;

	private boolean partialTakeover;

	/**
	 * Creates a write of the router row alone.
	 * @param routerKey the key of the row
	 * @param routerVersion the version that it must have
	 * @param routerRow the row
	 * @param limits the limits of all workspaces, those that are not stated in the row
	 * included
	 * @param sentAtNanos the monotonic time in nanoseconds
	 */
	LedgerWrite(String routerKey, long routerVersion, RouterRow routerRow, Map<String, RouterRow.Limit> limits,
			long sentAtNanos) {
		this.routerRow = routerRow;
		this.limits = Map.copyOf(limits);
		this.sentAtNanos = sentAtNanos;
		this.conditions.put(routerKey, routerVersion);
		this.transaction.putIf(routerKey, routerVersion, Json.write(routerRow));
	}

	/**
	 * Adds a change of one shared row.
	 * @param account the account
	 * @param row the new row
	 * @param delta the tokens that the router takes, negative if it returns tokens
	 */
	void add(GrantAccount account, GrantRow row, long delta) {
		this.changes.add(new Change(account, row, delta));
		this.conditions.put(account.key(), account.version());
		this.transaction.putIf(account.key(), account.version(), Json.write(row));
	}

	/**
	 * Adds a row that is written as it is, without a change of tokens.
	 * @param key the key
	 * @param version the version that the row must have, 0 for absent
	 * @param json the value as JSON text
	 */
	void put(String key, long version, String json) {
		this.repairing = true;
		this.conditions.put(key, version);
		this.transaction.putIf(key, version, json);
	}

	/**
	 * Returns whether the transaction writes rows of which the ledger keeps no version.
	 * @return {@code true} if the rows have to be read again
	 */
	boolean isRepairing() {
		return this.repairing;
	}

	/**
	 * Marks the write as one that releases a part of what the process before cannot have
	 * spent. Its row still is that of the process before.
	 */
	void markPartialTakeover() {
		this.partialTakeover = true;
	}

	/**
	 * Returns whether the row of the process before remains, with fewer limits.
	 * @return {@code true} if the rest has to be released by later writes
	 */
	boolean isPartialTakeover() {
		return this.partialTakeover;
	}

	/**
	 * Records that an attempt ended without a known outcome.
	 */
	void markMaybeApplied() {
		this.maybeApplied = true;
	}

	/**
	 * Returns whether an earlier attempt may have been applied or may still be applied.
	 * @return {@code true} if an attempt ended without a known outcome
	 */
	boolean isMaybeApplied() {
		return this.maybeApplied;
	}

	RouterRow routerRow() {
		return this.routerRow;
	}

	Map<String, RouterRow.Limit> limits() {
		return this.limits;
	}

	long sentAtNanos() {
		return this.sentAtNanos;
	}

	List<Change> changes() {
		return this.changes;
	}

	/**
	 * Returns the tokens that the transaction takes or returns.
	 * @return the sum of the absolute values
	 */
	long tokens() {
		return this.changes.stream().mapToLong((change) -> Math.abs(change.delta())).sum();
	}

	Transaction transaction() {
		return this.transaction.build();
	}

	/**
	 * Returns whether the transaction can still be applied.
	 * @param rows the current rows
	 * @return {@code false} if the version of a row differs from the expected one
	 */
	boolean canStillApply(List<Row> rows) {
		for (Row row : rows) {
			Long expected = this.conditions.get(row.key());
			if (expected != null && expected != row.version()) {
				return false;
			}
		}
		return true;
	}

	/**
	 * A change of one shared row.
	 *
	 * @param account the account
	 * @param row the new row
	 * @param delta the tokens that the router takes, negative if it returns tokens
	 */
	record Change(GrantAccount account, GrantRow row, long delta) {
	}

}
