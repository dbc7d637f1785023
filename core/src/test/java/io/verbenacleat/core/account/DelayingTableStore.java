package io.verbenacleat.core.account;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * A table store that delays writes: the caller gets an unknown outcome at once, and the
 * write takes effect later or never. Not safe for use by several threads.
 */
final class DelayingTableStore implements TableStore {

	private final TableStore store;

	private final Queue<Transaction> delayed = new ArrayDeque<>();

	private int writesToDelay;

	private int writesUntilDelivery;

	DelayingTableStore(TableStore store) {
		this.store = store;
	}

	// Delays the next writes, and delivers them just before the given write after them,
	// counted from 1; 0 for no delivery.
	void delay(int writes, int deliverBeforeWrite) {
		this.writesToDelay = writes;
		this.writesUntilDelivery = deliverBeforeWrite;
	}

	void deliver() {
		Transaction next = this.delayed.poll();
		while (next != null) {
			this.store.transact(next);
			next = this.delayed.poll();
		}
	}

	@Override
	public CompletableFuture<List<Row>> read(List<String> keys) {
		return this.store.read(keys);
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		return this.store.scan(prefix, after, limit);
	}

	@Override
	public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		if (this.writesToDelay > 0) {
			this.writesToDelay--;
			this.delayed.add(transaction);
			return CompletableFuture.completedFuture(
					new WriteOutcome.Unknown(new PlatformUnavailableException("The answer is delayed", null)));
		}
		if (this.writesUntilDelivery > 0 && --this.writesUntilDelivery == 0) {
			deliver();
		}
		return this.store.transact(transaction);
	}

}
