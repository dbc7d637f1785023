package io.verbenacleat.core.control;

/**
 * A timer that can be stopped. Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface Cancellable {

	/**
	 * Stops the timer; does nothing when it has run or was stopped before.
	 */
	void cancel();

}
