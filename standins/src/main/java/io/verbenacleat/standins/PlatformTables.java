package io.verbenacleat.standins;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.TransactionLimits;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * Table service of the platform stand-in. It keeps a log of all applied transactions,
 * which is never truncated. Safe for use by several threads.
 */
final class PlatformTables {

	private static final int MAX_SCAN_ROWS = 1_000;

	private final InMemoryTableStore store = new InMemoryTableStore(TransactionLimits.NONE);

	private final List<AppliedTransaction> appliedTransactions = new ArrayList<>();

	private long readCount;

	private long writeCount;

	/**
	 * Reads rows by key.
	 * @param request the keys
	 * @return one row for each key, absent rows included
	 */
	synchronized RowsAnswer read(ReadRequest request) {
		this.readCount++;
		return new RowsAnswer(this.store.read(request.keys()).join());
	}

	/**
	 * Reads rows by key prefix.
	 * @param request the range
	 * @return the rows
	 * @throws IllegalArgumentException when the limit is not from 1 to 1,000
	 */
	synchronized RowsAnswer scan(ScanRequest request) {
		if (request.limit() < 1 || request.limit() > MAX_SCAN_ROWS) {
			throw new IllegalArgumentException(
					"limit: found " + request.limit() + ", allowed is 1 to " + MAX_SCAN_ROWS);
		}
		this.readCount++;
		return new RowsAnswer(this.store.scan(request.prefix(), request.after(), request.limit()).join());
	}

	/**
	 * Applies a transaction, and logs it when its conditions hold.
	 * @param transaction a transaction that passed {@link #validate}
	 * @return {@link WriteOutcome.Applied} or {@link WriteOutcome.Conflict}
	 */
	synchronized WriteOutcome transact(Transaction transaction) {
		this.writeCount++;
		WriteOutcome outcome = this.store.transact(transaction).join();
		if (outcome instanceof WriteOutcome.Applied done) {
			this.appliedTransactions
				.add(new AppliedTransaction(this.appliedTransactions.size() + 1, System.currentTimeMillis(),
						transaction.conditions(), transaction.puts(), transaction.deletes(), done.versions()));
		}
		return outcome;
	}

	/**
	 * Returns the log and the counters.
	 * @return a copy
	 */
	synchronized Records records() {
		return new Records(List.copyOf(this.appliedTransactions), this.readCount, this.store.readRows(),
				this.writeCount);
	}

	/**
	 * Checks that a transaction writes only JSON texts and no key twice.
	 * @param transaction the transaction
	 * @throws JsonFormatException when a value is not a JSON text
	 * @throws IllegalArgumentException when a key or value is missing or a key is written
	 * twice
	 */
	static void validate(Transaction transaction) throws JsonFormatException {
		Set<String> written = new HashSet<>(transaction.deletes());
		for (Transaction.Put put : transaction.puts()) {
			if (put.key() == null || put.json() == null || !written.add(put.key())) {
				throw new IllegalArgumentException("A put has no key, no value or a key that is written twice");
			}
			Json.read(put.json(), Object.class);
		}
	}

	/**
	 * Body of {@code POST /v1/tables/read}.
	 *
	 * @param keys the keys to read
	 */
	record ReadRequest(List<String> keys) {

		ReadRequest {
			keys = List.copyOf(keys);
		}

	}

	/**
	 * Body of {@code POST /v1/tables/scan}.
	 *
	 * @param prefix the key prefix, empty when absent
	 * @param after the key after which to start, exclusive; empty when absent
	 * @param limit the largest number of rows, 1 to 1,000
	 */
	record ScanRequest(String prefix, String after, int limit) {

		ScanRequest {
			prefix = (prefix != null) ? prefix : "";
			after = (after != null) ? after : "";
		}

	}

	/**
	 * Answer to a read or a scan.
	 *
	 * @param rows the rows
	 */
	record RowsAnswer(List<Row> rows) {
	}

	/**
	 * Answer to a transaction.
	 *
	 * @param versions the new versions of an applied transaction, or the current versions
	 * of the rows whose conditions failed, by key
	 */
	record VersionsAnswer(Map<String, Long> versions) {
	}

	/**
	 * Answer to a request that a fault refused.
	 *
	 * @param applied always {@code false}, since nothing was changed
	 */
	record RefusalAnswer(boolean applied) {
	}

	/**
	 * Applied transaction in the log.
	 *
	 * @param sequence the position in the order of application, from 1
	 * @param atMs the time of application, in milliseconds since the epoch
	 * @param conditions the conditions that held
	 * @param puts the rows that were written
	 * @param deletes the keys that were deleted
	 * @param versions the new version of each written row, by key
	 */
	record AppliedTransaction(long sequence, long atMs, List<Transaction.Condition> conditions,
			List<Transaction.Put> puts, List<String> deletes, Map<String, Long> versions) {
	}

	/**
	 * Answer of {@code GET /standin/records}: the log and the counters.
	 *
	 * @param transactions the applied transactions in order of application
	 * @param reads the number of reads and scans
	 * @param readRows the number of rows that these returned
	 * @param writes the number of transactions, conflicts included
	 */
	record Records(List<AppliedTransaction> transactions, long reads, long readRows, long writes) {
	}

}
