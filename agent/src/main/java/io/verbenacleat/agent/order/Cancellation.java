package io.verbenacleat.agent.order;

import java.util.ArrayList;
import java.util.List;

/**
 * A one-way switch that stops a running order. Safe for use by several threads.
 */
public final class Cancellation {

	private final List<Runnable> actions = new ArrayList<>();

	private boolean cancelled;

	/**
	 * Stops the order and runs the registered actions; does nothing the second time.
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
	 * Registers an action; runs it at once when the order is stopped already.
	 * @param action the action, fast and without exceptions
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
	 * Returns whether the order is to stop.
	 * @return {@code true} after {@link #cancel}
	 */
	public synchronized boolean isCancelled() {
		return this.cancelled;
	}

}
