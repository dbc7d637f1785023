package io.verbenacleat.core.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Calls a {@link TableStore} and waits for the answer, for the command line and for the
 * start of daemons. Safe for use by several threads; not for the control thread.
 */
public final class BlockingTableStore {

	private final TableStore store;

	private final Duration timeout;

	/**
	 * Creates a caller.
	 * @param store the store
	 * @param timeout how long to wait for each answer
	 */
	public BlockingTableStore(TableStore store, Duration timeout) {
		this.store = store;
		this.timeout = timeout;
	}

	/**
	 * Reads one row.
	 * @param key the key
	 * @return the row, of version 0 when absent
	 * @throws PlatformException when the store does not answer
	 */
	public Row read(String key) throws PlatformException {
		return read(List.of(key)).get(0);
	}

	/**
	 * Reads rows in one consistent view.
	 * @param keys the keys
	 * @return one row for each key, in the same order
	 * @throws PlatformException when the store does not answer
	 */
	public List<Row> read(List<String> keys) throws PlatformException {
		return await(this.store.read(keys));
	}

	/**
	 * Reads rows by prefix, see {@link TableStore#scan}.
	 * @param prefix the prefix
	 * @param after the key after which to start, empty to start at the first
	 * @param limit the most rows to return, 1 to 1,000
	 * @return the rows
	 * @throws PlatformException when the store does not answer
	 */
	public List<Row> scan(String prefix, String after, int limit) throws PlatformException {
		return await(this.store.scan(prefix, after, limit));
	}

	/**
	 * Applies a transaction.
	 * @param transaction the transaction
	 * @return what is known of its effect
	 * @throws PlatformException when the wait was interrupted
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
					"The platform did not answer within " + this.timeout.toMillis() + " ms", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new PlatformUnavailableException("Interrupted while waiting for the platform", ex);
		}
	}

}
