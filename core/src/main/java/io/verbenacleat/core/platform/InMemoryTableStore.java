package io.verbenacleat.core.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * A table store in memory that can simulate outages and lost responses, and rejects
 * transactions over its limits. Used by tests and by the platform stand-in. Safe for use
 * by several threads; futures are complete when they are returned.
 */
public final class InMemoryTableStore implements TableStore {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final TransactionLimits limits;

	private boolean available = true;

	private int answersToLose;

	private long readRows;

	private long writeTransactions;

	/**
	 * Creates a store without rows and with the standard limits.
	 */
	public InMemoryTableStore() {
		this(TransactionLimits.STANDARD);
	}

	/**
	 * Creates a store without rows.
	 * @param limits the limits of a transaction
	 */
	public InMemoryTableStore(TransactionLimits limits) {
		this.limits = limits;
	}

	@Override
	public TransactionLimits limits() {
		return this.limits;
	}

	/**
	 * Sets whether the store is available.
	 * @param available {@code false} to fail all calls
	 */
	public synchronized void setAvailable(boolean available) {
		this.available = available;
	}

	/**
	 * Loses the responses to the next transactions without a conflict: they take effect,
	 * and the caller gets {@link WriteOutcome.Unknown}.
	 * @param count the number of transactions, zero or more
	 */
	public synchronized void loseNextAnswers(int count) {
		this.answersToLose = count;
	}

	/**
	 * Returns the number of rows that were read, absent ones included.
	 * @return the count since the store was created
	 */
	public synchronized long readRows() {
		return this.readRows;
	}

	/**
	 * Returns the number of transactions received while the store was available,
	 * conflicts included.
	 * @return the count since the store was created
	 */
	public synchronized long writeTransactions() {
		return this.writeTransactions;
	}

	@Override
	public synchronized CompletableFuture<List<Row>> read(List<String> keys) {
		if (!this.available) {
			return CompletableFuture.failedFuture(unavailable());
		}
		List<Row> found = new ArrayList<>();
		for (String key : keys) {
			found.add(this.rows.getOrDefault(key, Row.absent(key)));
		}
		this.readRows += found.size();
		return CompletableFuture.completedFuture(List.copyOf(found));
	}

	@Override
	public synchronized CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		if (!this.available) {
			return CompletableFuture.failedFuture(unavailable());
		}
		List<Row> found = new ArrayList<>();
		String start = (after.compareTo(prefix) > 0) ? after : prefix;
		for (Row row : this.rows.tailMap(start, !start.equals(after)).values()) {
			if (!row.key().startsWith(prefix) || found.size() >= limit) {
				break;
			}
			found.add(row);
		}
		this.readRows += found.size();
		return CompletableFuture.completedFuture(List.copyOf(found));
	}

	@Override
	public synchronized CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		if (!this.available) {
			return CompletableFuture.completedFuture(new WriteOutcome.NotApplied(unavailable()));
		}
		this.writeTransactions++;
		Optional<String> violation = this.limits.violation(transaction);
		if (violation.isPresent()) {
			return CompletableFuture.completedFuture(new WriteOutcome.NotApplied(
					new PlatformProtocolException("The transaction has " + violation.get(), null)));
		}
		Map<String, Long> conflicts = conflicts(transaction);
		if (!conflicts.isEmpty()) {
			return CompletableFuture.completedFuture(new WriteOutcome.Conflict(conflicts,
					transaction.conditions()
						.stream()
						.map((condition) -> this.rows.getOrDefault(condition.key(), Row.absent(condition.key())))
						.toList()));
		}
		Map<String, Long> versions = apply(transaction);
		if (this.answersToLose > 0) {
			this.answersToLose--;
			return CompletableFuture.completedFuture(new WriteOutcome.Unknown(
					new PlatformUnavailableException("The response of the table store was lost", null)));
		}
		return CompletableFuture.completedFuture(new WriteOutcome.Applied(versions));
	}

	private Map<String, Long> conflicts(Transaction transaction) {
		Map<String, Long> conflicts = new HashMap<>();
		for (Transaction.Condition condition : transaction.conditions()) {
			long version = this.rows.getOrDefault(condition.key(), Row.absent(condition.key())).version();
			if (version != condition.version()) {
				conflicts.put(condition.key(), version);
			}
		}
		return conflicts;
	}

	private Map<String, Long> apply(Transaction transaction) {
		Map<String, Long> versions = new HashMap<>();
		for (Transaction.Put put : transaction.puts()) {
			long version = this.rows.getOrDefault(put.key(), Row.absent(put.key())).version() + 1;
			this.rows.put(put.key(), new Row(put.key(), version, put.json()));
			versions.put(put.key(), version);
		}
		transaction.deletes().forEach(this.rows::remove);
		return versions;
	}

	private static PlatformUnavailableException unavailable() {
		return new PlatformUnavailableException("The table store is not available", null);
	}

}
