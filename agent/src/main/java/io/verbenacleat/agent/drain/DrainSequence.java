package io.verbenacleat.agent.drain;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import org.jspecify.annotations.Nullable;

/**
 * Drains an agent before it stops: refuses new orders at once, waits for the running
 * orders without a time limit, then for receipts and open streams with one. Must be used
 * on the control thread.
 */
public final class DrainSequence {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	/**
	 * The longest wait after the start of the sequence and the end of the last order, so
	 * that an unresponsive holder does not block the stop.
	 */
	private static final long MAX_RECEIPT_WAIT_MS = 30_000;

	private final ControlThread control;

	private final DrainState state;

	private final PendingWork pendingWork;

	private final CompletableFuture<Boolean> receiptsDurable = new CompletableFuture<>();

	private long startedAtMs;

	private @Nullable Cancellable timer;

	/**
	 * Creates a sequence that is idle until {@link #begin} is called.
	 * @param control the control thread
	 * @param state the drain state to set
	 * @param pendingWork reports the work that is not done
	 */
	public DrainSequence(ControlThread control, DrainState state, PendingWork pendingWork) {
		this.control = control;
		this.state = state;
		this.pendingWork = pendingWork;
	}

	/**
	 * Begins the sequence; further calls have no effect.
	 * @return a future that completes at the end of the sequence, with {@code true} when
	 * all receipts are durable, {@code false} otherwise
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
	 * The work that a stop waits for. Called on the control thread.
	 */
	public interface PendingWork {

		/**
		 * Returns the number of running orders.
		 * @return the count
		 */
		int ordersInProgress();

		/**
		 * Returns when the last order ended.
		 * @return the time in milliseconds since the epoch
		 */
		long lastOrderEndMs();

		/**
		 * Returns the number of receipts that are not known to be durable.
		 * @return the count
		 */
		int receiptsWaiting();

		/**
		 * Returns the number of streams whose end has not reached the gateway.
		 * @return the count
		 */
		int openStreams();

	}

}
