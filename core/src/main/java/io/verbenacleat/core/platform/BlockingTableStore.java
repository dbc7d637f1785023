package io.verbenacleat.core.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Calls a {@link TableStore} and blocks until it responds. Used by the command line and
 * while daemons start. Safe for use by several threads; must not be called on the control
 * thread, which it would block.
 */
public final class BlockingTableStore {

	private final TableStore store;

	private final Duration timeout;

	/**
	 * Creates a blocking view of a store.
	 * @param store the store
	 * @param timeout how long to wait for each response, at least 1 ms
	 */
	public BlockingTableStore(TableStore store, Duration timeout) {
		this.store = store;
		this.timeout = timeout;
	}

	/**
	 * Reads one row.
	 * @param key the key
	 * @return the row, with version 0 if the key is absent
	 * @throws PlatformException if the read fails or times out
	 */
	public Row read(String key) throws PlatformException {
		return read(List.of(key)).get(0);
	}

	/**
	 * Reads rows in one consistent snapshot.
	 * @param keys the keys
	 * @return one row for each key, in the same order; absent keys have version 0
	 * @throws PlatformException if the read fails or times out
	 */
	public List<Row> read(List<String> keys) throws PlatformException {
		return await(this.store.read(keys));
	}

	/**
	 * Reads rows whose key has a prefix, in ascending order of keys; see
	 * {@link TableStore#scan}.
	 * @param prefix the prefix of the keys, empty for all
	 * @param after the exclusive start key, empty to start at the first row
	 * @param limit the maximum number of rows, 1 to 1,000
	 * @return the rows
	 * @throws PlatformException if the read fails or times out
	 */
	public List<Row> scan(String prefix, String after, int limit) throws PlatformException {
		return await(this.store.scan(prefix, after, limit));
	}

	/**
	 * Applies a transaction wholly or not at all.
	 * @param transaction the transaction
	 * @return the outcome, {@link WriteOutcome.Unknown} after a timeout or an interrupt
	 * @throws PlatformException if the call fails in an unexpected way
	 */
	public WriteOutcome transact(Transaction transaction) throws PlatformException {
		try {
			return await(this.store.transact(transaction));
		}
		catch (PlatformUnavailableException ex) {
			return new WriteOutcome.Unknown(ex);
		}
	}

	private <T> T await(CompletableFuture<T> future) throws PlatformException {
		try {
			return future.get(this.timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			if (ex.getCause() instanceof PlatformException failure) {
				throw failure;
			}
			throw new PlatformProtocolException("The call to the platform failed", ex.getCause());
		}
		catch (TimeoutException ex) {
			throw new PlatformUnavailableException(
					"The platform did not respond within " + this.timeout.toMillis() + " ms", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new PlatformUnavailableException("Interrupted while waiting for the platform", ex);
		}
	}

}
