package io.verbenacleat.bench.weights;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * An in-memory table store with a network delay that counts its calls. Not safe for use
 * by several threads.
 */
final class CountingTableStore implements TableStore {

	private final ManualControlThread control;

	private final InMemoryTableStore rows = new InMemoryTableStore();

	private long reads;

	private long writes;

	CountingTableStore(ManualControlThread control) {
		this.control = control;
	}

	long reads() {
		return this.reads;
	}

	long writes() {
		return this.writes;
	}

	@Override
	public CompletableFuture<List<Row>> read(List<String> keys) {
		this.reads++;
		return RoundTrip.delayed(this.control, () -> this.rows.read(keys).join());
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		this.reads++;
		return RoundTrip.delayed(this.control, () -> this.rows.scan(prefix, after, limit).join());
	}

	@Override
	public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		this.writes++;
		return RoundTrip.delayed(this.control, () -> this.rows.transact(transaction).join());
	}

}
