package io.verbenacleat.agent.order;

import java.util.ArrayList;
import java.util.List;

/**
 * Cancellation flag of an order with registered actions. Cannot be reset. Safe for use by
 * several threads.
 */
public final class Cancellation {

	private final List<Runnable> actions = new ArrayList<>();

	private boolean cancelled;

	/**
	 * Cancels the order and runs the registered actions; further calls have no effect.
	 */
	public void cancel() {
		List<Runnable> pending;
		synchronized (this) {
			if (this.cancelled) {
				return;
			}
			this.cancelled = true;
			pending = List.copyOf(this.actions);
			this.actions.clear();
		}
		pending.forEach(Runnable::run);
	}

	/**
	 * Registers an action to run on cancellation; runs it immediately when the order is
	 * already cancelled.
	 * @param action the action, which must neither block nor throw
	 */
	public void onCancel(Runnable action) {
		synchronized (this) {
			if (!this.cancelled) {
				this.actions.add(action);
				return;
			}
		}
		action.run();
	}

	/**
	 * Returns whether the order has been cancelled.
	 * @return {@code true} after {@link #cancel}
	 */
	public synchronized boolean isCancelled() {
		return this.cancelled;
	}

}
