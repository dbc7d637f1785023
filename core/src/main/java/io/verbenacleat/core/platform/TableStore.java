package io.verbenacleat.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The transactional table service of the platform. Implementations are safe for use by
 * several threads. Futures may complete on any thread; a failed read completes with a
 * {@link PlatformException}.
 */
public interface TableStore {

	/**
	 * Reads rows in one consistent view.
	 * @param keys the keys
	 * @return one row for each key, in the same order; absent ones have version 0
	 */
	CompletableFuture<List<Row>> read(List<String> keys);

	/**
	 * Reads rows by the prefix of their key, in ascending order of keys.
	 * @param prefix the prefix
	 * @param after the key after which to start, empty to start at the first
	 * @param limit the most rows to return, 1 to 1,000
	 * @return the rows
	 */
	CompletableFuture<List<Row>> scan(String prefix, String after, int limit);

	/**
	 * Applies a transaction wholly or not at all.
	 * @param transaction the transaction
	 * @return what is known of its effect; the future itself never fails
	 */
	CompletableFuture<WriteOutcome> transact(Transaction transaction);

	/**
	 * Reads one row.
	 * @param key the key
	 * @return the row, of version 0 when absent
	 */
	default CompletableFuture<Row> read(String key) {
		return read(List.of(key)).thenApply((rows) -> rows.get(0));
	}

}
