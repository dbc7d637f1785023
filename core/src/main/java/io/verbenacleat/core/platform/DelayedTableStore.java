package io.verbenacleat.core.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;

/**
 * A table store with delayed responses, for tests on a manual control thread. Each call
 * takes effect at once, and its future completes after the delay that was set at the time
 * of the call, so a response with a shorter delay may arrive before earlier ones. Not
 * safe for use by several threads; call it on the control thread.
 */
public final class DelayedTableStore implements TableStore {

	private final TableStore store;

	private final ControlThread control;

	private Duration delay;

	/**
	 * Creates a store.
	 * @param store the store that executes the calls
	 * @param control the thread that completes the futures
	 * @param delay the initial delay of responses, not negative
	 */
	public DelayedTableStore(TableStore store, ControlThread control, Duration delay) {
		this.store = store;
		this.control = control;
		this.delay = delay;
	}

	/**
	 * Sets the delay of responses to later calls.
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
