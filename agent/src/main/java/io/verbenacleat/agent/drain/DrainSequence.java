package io.verbenacleat.agent.drain;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import org.jspecify.annotations.Nullable;

/**
 * The graceful stop: refuses new orders at once, waits for the orders that run, then for
 * their receipts. Control thread only.
 */
public final class DrainSequence {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	/** A holder that does not answer must not keep the process from stopping. */
	private static final long MAX_RECEIPT_WAIT_MS = 30_000;

	private final ControlThread control;

	private final DrainState state;

	private final Work work;

	private final CompletableFuture<Boolean> done = new CompletableFuture<>();

	private long startedAtMs;

	private @Nullable Cancellable timer;

	/**
	 * Creates a sequence that has not begun.
	 * @param control the control thread
	 * @param state where the drain is set
	 * @param work tells what is left to do
	 */
	public DrainSequence(ControlThread control, DrainState state, Work work) {
		this.control = control;
		this.state = state;
		this.work = work;
	}

	/**
	 * Begins the sequence; does nothing the second time.
	 * @return completes with whether all receipts are durable
	 */
	public CompletableFuture<Boolean> begin() {
		if (this.timer == null) {
			this.startedAtMs = this.control.clock().millis();
			this.state.set(DrainReason.SIGNAL, true);
			this.timer = this.control.scheduleWithFixedDelay(CHECK_INTERVAL, this::check);
			check();
		}
		return this.done;
	}

	private void check() {
		if (this.work.ordersInProgress() > 0) {
			return;
		}
		boolean clean = this.work.receiptsWaiting() == 0 && this.work.openStreams() == 0;
		long sinceMs = Math.max(this.startedAtMs, this.work.lastOrderEndMs());
		if (clean || this.control.clock().millis() - sinceMs >= MAX_RECEIPT_WAIT_MS) {
			if (this.timer != null) {
				this.timer.cancel();
			}
			this.done.complete(this.work.receiptsWaiting() == 0);
		}
	}

	/**
	 * What is left to do. Called on the control thread.
	 */
	public interface Work {

		/**
		 * Returns how many orders run.
		 * @return the count
		 */
		int ordersInProgress();

		/**
		 * Returns when the last order ended.
		 * @return the time in milliseconds since the epoch
		 */
		long lastOrderEndMs();

		/**
		 * Returns how many receipts are not durable.
		 * @return the count
		 */
		int receiptsWaiting();

		/**
		 * Returns how many gateways have not received the end of their stream.
		 * @return the count
		 */
		int openStreams();

	}

}
