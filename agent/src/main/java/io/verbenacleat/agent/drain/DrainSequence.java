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

	private final PendingWork pendingWork;

	private final CompletableFuture<Boolean> receiptsDurable = new CompletableFuture<>();

	private long startedAtMs;

	private @Nullable Cancellable timer;

	/**
	 * Creates a sequence that has not begun.
	 * @param control the control thread
	 * @param state where the drain is set
	 * @param pendingWork tells what is left to do
	 */
	public DrainSequence(ControlThread control, DrainState state, PendingWork pendingWork) {
		this.control = control;
		this.state = state;
		this.pendingWork = pendingWork;
	}

	/**
	 * Begins the sequence; does nothing the second time.
	 * @return completes with whether all receipts are durable
	 */
	public CompletableFuture<Boolean> begin() {
		if (this.timer == null) {
			this.startedAtMs = this.control.clock().millis();
			this.state.set(DrainReason.SIGNAL, true);
			this.timer = this.control.scheduleWithFixedDelay(CHECK_INTERVAL, this::checkPendingWork);
			checkPendingWork();
		}
		return this.receiptsDurable;
	}

	private void checkPendingWork() {
		if (this.pendingWork.ordersInProgress() > 0) {
			return;
		}
		boolean idle = this.pendingWork.receiptsWaiting() == 0 && this.pendingWork.openStreams() == 0;
		long sinceMs = Math.max(this.startedAtMs, this.pendingWork.lastOrderEndMs());
		if (idle || this.control.clock().millis() - sinceMs >= MAX_RECEIPT_WAIT_MS) {
			if (this.timer != null) {
				this.timer.cancel();
			}
			this.receiptsDurable.complete(this.pendingWork.receiptsWaiting() == 0);
		}
	}

	/**
	 * What is left to do. Called on the control thread.
	 */
	public interface PendingWork {

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
