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
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * The table service of the platform stand-in, with a log of applied transactions in their
 * order. The log is kept until the end. Safe for use by several threads.
 */
final class PlatformTables {

	private static final int MAX_SCAN_ROWS = 1_000;

	private final InMemoryTableStore store = new InMemoryTableStore();

	private final List<AppliedTransaction> appliedTransactions = new ArrayList<>();

	private long readCount;

	private long writeCount;

	/**
	 * Reads rows.
	 * @param request the request
	 * @return one row for each key
	 */
	synchronized RowsAnswer read(ReadRequest request) {
		this.readCount++;
		return new RowsAnswer(this.store.read(request.keys()).join());
	}

	/**
	 * Reads rows by prefix.
	 * @param request the request
	 * @return the rows
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
	 * Applies a transaction and logs it.
	 * @param transaction a checked transaction
	 * @return the outcome, applied or conflict
	 */
	synchronized WriteOutcome transact(Transaction transaction) {
		this.writeCount++;
		WriteOutcome outcome = this.store.transact(transaction).join();
		if (outcome instanceof WriteOutcome.Applied done) {
			this.appliedTransactions.add(new AppliedTransaction(this.appliedTransactions.size() + 1, System.currentTimeMillis(),
					transaction.conditions(), transaction.puts(), transaction.deletes(), done.versions()));
		}
		return outcome;
	}

	/**
	 * Returns the log and the counts.
	 * @return a copy
	 */
	synchronized Records records() {
		return new Records(List.copyOf(this.appliedTransactions), this.readCount, this.store.readRows(), this.writeCount);
	}

	/**
	 * Checks that a transaction writes JSON texts, and no key twice.
	 * @param transaction the transaction
	 * @throws JsonFormatException when a value is not a JSON text
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
	 * The body of a read.
	 *
	 * @param keys the keys
	 */
	record ReadRequest(List<String> keys) {

		ReadRequest {
			keys = List.copyOf(keys);
		}

	}

	/**
	 * The body of a scan.
	 *
	 * @param prefix the prefix
	 * @param after the key after which to start
	 * @param limit the most rows
	 */
	record ScanRequest(String prefix, String after, int limit) {

		ScanRequest {
			prefix = (prefix != null) ? prefix : "";
			after = (after != null) ? after : "";
		}

	}

	/**
	 * The answer to a read or a scan.
	 *
	 * @param rows the rows
	 */
	record RowsAnswer(List<Row> rows) {
	}

	/**
	 * The answer to a transaction.
	 *
	 * @param versions versions by key
	 */
	record VersionsAnswer(Map<String, Long> versions) {
	}

	/**
	 * The answer to a refused request.
	 *
	 * @param applied {@code false}: nothing was changed
	 */
	record RefusalAnswer(boolean applied) {
	}

	/**
	 * One transaction of the log.
	 *
	 * @param sequence its place in the order of application, from 1
	 * @param atMs when it was applied, in milliseconds since the epoch
	 * @param conditions its conditions
	 * @param puts the rows that it wrote
	 * @param deletes the keys that it deleted
	 * @param versions the new version of each row that it wrote
	 */
	record AppliedTransaction(long sequence, long atMs, List<Transaction.Condition> conditions,
			List<Transaction.Put> puts, List<String> deletes, Map<String, Long> versions) {
	}

	/**
	 * The log and the counts.
	 *
	 * @param transactions applied transactions in order
	 * @param reads how many reads and scans were answered
	 * @param readRows how many rows they returned
	 * @param writes how many transactions were tried, conflicts included
	 */
	record Records(List<AppliedTransaction> transactions, long reads, long readRows, long writes) {
	}

}
