package io.verbenacleat.bench.grants;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * The connection of one holder to the shared table store. Responses take a round trip,
 * calls during a partition fail after a timeout, and calls of a crashed holder never
 * complete. Counts the calls. Not safe for use by several threads.
 */
final class PartitionedTableStore implements TableStore {

	private static final Duration ROUND_TRIP = Duration.ofMillis(4);

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private final TableStore store;

	private final ManualControlThread control;

	private final BooleanSupplier reachable;

	private final CallCounts counts;

	private boolean crashed;

	PartitionedTableStore(TableStore store, ManualControlThread control, BooleanSupplier reachable, CallCounts counts) {
		this.store = store;
		this.control = control;
		this.reachable = reachable;
		this.counts = counts;
	}

	void setCrashed() {
		this.crashed = true;
	}

	@Override
	public CompletableFuture<List<Row>> read(List<String> keys) {
		this.counts.reads++;
		return call(() -> this.store.read(keys), CompletableFuture.failedFuture(unreachable()));
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		this.counts.reads++;
		return call(() -> this.store.scan(prefix, after, limit), CompletableFuture.failedFuture(unreachable()));
	}

	@Override
	public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		if (transaction.puts().stream().anyMatch((put) -> put.key().startsWith("account/"))) {
			this.counts.accountWrites++;
		}
		else {
			this.counts.journalWrites++;
		}
		return call(() -> this.store.transact(transaction),
				CompletableFuture.completedFuture(new WriteOutcome.NotApplied(unreachable())));
	}

	private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call, CompletableFuture<T> failed) {
		CompletableFuture<T> result = new CompletableFuture<>();
		boolean tableReachable = this.reachable.getAsBoolean();
		this.control.schedule((tableReachable) ? ROUND_TRIP : TIMEOUT, () -> {
			if (!this.crashed) {
				((tableReachable) ? call.get() : failed)
					.whenComplete((value, failure) -> complete(result, value, failure));
			}
		});
		return result;
	}

	private static <T> void complete(CompletableFuture<T> result, T value, Throwable failure) {
		if (failure != null) {
			result.completeExceptionally(failure);
		}
		else {
			result.complete(value);
		}
	}

	private static PlatformUnavailableException unreachable() {
		return new PlatformUnavailableException("The table service is unreachable because of a simulated partition",
				null);
	}

	/**
	 * Counts the calls of all holders of one scheme. Not safe for use by several threads.
	 */
	static final class CallCounts {

		private long reads;

		private long accountWrites;

		private long journalWrites;

		/**
		 * Returns the current counts.
		 * @return the number of calls by kind
		 */
		TableLoad snapshot() {
			return new TableLoad(this.reads, this.accountWrites, this.journalWrites);
		}

	}

}
