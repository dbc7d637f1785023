package io.verbenacleat.entry.request;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import org.jspecify.annotations.Nullable;

/**
 * A table store that loses the responses of some writes. Such a write takes effect at
 * once, never, or after a later call. Safe for use by several threads.
 */
final class LossyTableStore implements TableStore {

	private final TableStore store;

	private final Random random;

	private @Nullable Transaction delayedWrite;

	LossyTableStore(TableStore store, long seed) {
		this.store = store;
		this.random = new Random(seed);
	}

	@Override
	public synchronized CompletableFuture<List<Row>> read(List<String> keys) {
		CompletableFuture<List<Row>> rows = this.store.read(keys);
		applyDelayedWrite();
		return rows;
	}

	@Override
	public synchronized CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		return this.store.scan(prefix, after, limit);
	}

	@Override
	public synchronized CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		switch (this.random.nextInt(6)) {
			case 0 -> this.store.transact(transaction).join();
			case 1 -> applyDelayedWrite();
			case 2 -> {
				applyDelayedWrite();
				this.delayedWrite = transaction;
			}
			default -> {
				CompletableFuture<WriteOutcome> outcome = this.store.transact(transaction);
				applyDelayedWrite();
				return outcome;
			}
		}
		return CompletableFuture
			.completedFuture(new WriteOutcome.Unknown(new PlatformUnavailableException("The response was lost", null)));
	}

	private void applyDelayedWrite() {
		Transaction pending = this.delayedWrite;
		this.delayedWrite = null;
		if (pending != null) {
			this.store.transact(pending).join();
		}
	}

}
