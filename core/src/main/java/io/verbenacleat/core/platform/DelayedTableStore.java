package io.verbenacleat.core.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;

/**
 * A table store whose answers arrive late, for tests on a manual control thread: each
 * call takes effect at once, and its answer arrives after the delay that was set when it
 * was made. An answer with a shorter delay overtakes earlier ones. Used on the control
 * thread only.
 */
public final class DelayedTableStore implements TableStore {

	private final TableStore store;

	private final ControlThread control;

	private Duration delay;

	/**
	 * Creates a store.
	 * @param store answers the calls
	 * @param control delivers the answers
	 * @param delay the delay of the answers
	 */
	public DelayedTableStore(TableStore store, ControlThread control, Duration delay) {
		this.store = store;
		this.control = control;
		this.delay = delay;
	}

	/**
	 * Sets the delay of the answers to later calls.
	 * @param newDelay the delay, not negative
	 */
	public void setDelay(Duration newDelay) {
		this.delay = newDelay;
	}

	@Override
	public CompletableFuture<List<Row>> read(List<String> keys) {
		return delayed(this.store.read(keys));
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		return delayed(this.store.scan(prefix, after, limit));
	}

	@Override
	public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		return delayed(this.store.transact(transaction));
	}

	private <T> CompletableFuture<T> delayed(CompletableFuture<T> response) {
		CompletableFuture<T> delayed = new CompletableFuture<>();
		this.control.schedule(this.delay, () -> response.whenComplete((value, failure) -> {
			if (failure != null) {
				delayed.completeExceptionally(failure);
			}
			else {
				delayed.complete(value);
			}
		}));
		return delayed;
	}

}
