package io.verbenacleat.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The transactional table service of the platform. Implementations are safe for use by
 * several threads. Futures may complete on any thread; failed reads complete with a
 * {@link PlatformException}.
 */
public interface TableStore {

	/**
	 * Reads rows in one consistent snapshot.
	 * @param keys the keys
	 * @return a future of one row for each key, in the same order; absent keys have
	 * version 0
	 */
	CompletableFuture<List<Row>> read(List<String> keys);

	/**
	 * Reads rows whose key has a prefix, in ascending order of keys.
	 * @param prefix the prefix, empty for all
	 * @param after the exclusive start key, empty to start at the first row
	 * @param limit the maximum number of rows, 1 to 1,000
	 * @return a future of the rows
	 */
	CompletableFuture<List<Row>> scan(String prefix, String after, int limit);

	/**
	 * Applies a transaction wholly or not at all.
	 * @param transaction the transaction, within the {@link #limits}
	 * @return a future of the outcome; it never fails
	 */
	CompletableFuture<WriteOutcome> transact(Transaction transaction);

	/**
	 * Returns the bounds of a transaction. One over them is never applied.
	 * @return the limits, {@link TransactionLimits#STANDARD} unless the service has
	 * others
	 */
	default TransactionLimits limits() {
		return TransactionLimits.STANDARD;
	}

	/**
	 * Reads one row.
	 * @param key the key
	 * @return a future of the row, with version 0 if the key is absent
	 */
	default CompletableFuture<Row> read(String key) {
		return read(List.of(key)).thenApply((rows) -> rows.get(0));
	}

}
