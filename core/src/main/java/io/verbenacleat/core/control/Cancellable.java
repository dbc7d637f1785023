package io.verbenacleat.core.control;

/**
 * A scheduled task that can be cancelled. Implementations are safe for use by several
 * threads.
 */
@FunctionalInterface
public interface Cancellable {

	/**
	 * Cancels the task; has no effect if it has already run or was cancelled.
	 */
	void cancel();

}
