package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import io.verbenacleat.core.platform.PlatformProtocolException;
import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.TransactionLimits;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * A table store in memory that can come back from an older copy of its rows, and rejects
 * transactions over its limits. All rows share one counter of versions, which goes back
 * with them, so that versions are given out again.
 */
public final class RestorableStore implements TableStore {

	private static final Duration MAX_COPY_AGE = Duration.ofSeconds(30);

	private final LongSupplier nanoTime;

	private final Deque<Copy> copies = new ArrayDeque<>();

	private TreeMap<String, Row> rows = new TreeMap<>();

	private long version;

	private long era = 1;

	private boolean available = true;

	private TransactionLimits limits = TransactionLimits.STANDARD;

	private int rejectedCount;

	private int writeCount;

	/**
	 * Creates a store without rows.
	 * @param nanoTime the steady time in nanoseconds
	 */
	public RestorableStore(LongSupplier nanoTime) {
		this.nanoTime = nanoTime;
		this.copies.add(new Copy(nanoTime.getAsLong(), 0, this.rows));
	}

	/**
	 * Returns how often the store came back from a copy.
	 * @return the era, 1 at first
	 */
	public long era() {
		return this.era;
	}

	/**
	 * Sets whether calls are served.
	 * @param newAvailable {@code false} for an outage
	 */
	public void setAvailable(boolean newAvailable) {
		this.available = newAvailable;
	}

	/**
	 * Returns how many transactions were over the limits.
	 * @return the count since the start
	 */
	int rejectedCount() {
		return this.rejectedCount;
	}

	/**
	 * Returns how many transactions within the limits were received.
	 * @return the count since the start, conflicts included
	 */
	int writeCount() {
		return this.writeCount;
	}

	/**
	 * Sets the limits that the store enforces. Writers are still told the standard ones.
	 * @param newLimits the limits
	 */
	void setEnforcedLimits(TransactionLimits newLimits) {
		this.limits = newLimits;
	}

	/**
	 * Goes back to the rows of an earlier time.
	 * @param age the age of the copy
	 */
	public void restore(Duration age) {
		long copiedNanos = this.nanoTime.getAsLong() - age.toNanos();
		while (this.copies.size() > 1 && this.copies.getLast().writtenNanos() > copiedNanos) {
			this.copies.removeLast();
		}
		this.rows = this.copies.getLast().rows();
		this.version = this.copies.getLast().version();
		this.era++;
	}

	@Override
	public CompletableFuture<List<Row>> read(List<String> keys) {
		if (!this.available) {
			return CompletableFuture.failedFuture(unavailable());
		}
		return CompletableFuture
			.completedFuture(keys.stream().map((key) -> this.rows.getOrDefault(key, Row.absent(key))).toList());
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		if (!this.available) {
			return CompletableFuture.failedFuture(unavailable());
		}
		return CompletableFuture.completedFuture(this.rows.values()
			.stream()
			.filter((row) -> row.key().startsWith(prefix) && row.key().compareTo(after) > 0)
			.limit(limit)
			.toList());
	}

	@Override
	public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		if (!this.available) {
			return CompletableFuture.completedFuture(new WriteOutcome.NotApplied(unavailable()));
		}
		Optional<String> violation = this.limits.violation(transaction);
		if (violation.isPresent()) {
			this.rejectedCount++;
			return CompletableFuture.completedFuture(new WriteOutcome.NotApplied(
					new PlatformProtocolException("The transaction has " + violation.get(), null)));
		}
		this.writeCount++;
		Map<String, Long> conflicts = new HashMap<>();
		List<Row> current = new ArrayList<>();
		for (Transaction.Condition condition : transaction.conditions()) {
			Row row = this.rows.getOrDefault(condition.key(), Row.absent(condition.key()));
			current.add(row);
			if (row.version() != condition.version()) {
				conflicts.put(row.key(), row.version());
			}
		}
		if (!conflicts.isEmpty()) {
			return CompletableFuture.completedFuture(new WriteOutcome.Conflict(conflicts, current));
		}
		TreeMap<String, Row> changed = new TreeMap<>(this.rows);
		this.version++;
		Map<String, Long> versions = new HashMap<>();
		for (Transaction.Put put : transaction.puts()) {
			changed.put(put.key(), new Row(put.key(), this.version, put.json()));
			versions.put(put.key(), this.version);
		}
		transaction.deletes().forEach(changed::remove);
		this.rows = changed;
		long nowNanos = this.nanoTime.getAsLong();
		this.copies.add(new Copy(nowNanos, this.version, changed));
		while (this.copies.size() > 1 && nowNanos - this.copies.getFirst().writtenNanos() > MAX_COPY_AGE.toNanos()) {
			this.copies.removeFirst();
		}
		return CompletableFuture.completedFuture(new WriteOutcome.Applied(versions));
	}

	private static PlatformUnavailableException unavailable() {
		return new PlatformUnavailableException("The store is not available", null);
	}

	/**
	 * The rows after one transaction.
	 *
	 * @param writtenNanos when it was applied
	 * @param version its version
	 * @param rows the rows, which are not changed any more
	 */
	private record Copy(long writtenNanos, long version, TreeMap<String, Row> rows) {
	}

}
