package io.verbenacleat.router.budget;

/**
 * Bounds of the current time of the store, by its monotonic clock, as derived from its
 * responses. Implementations are safe for use by several threads.
 */
public interface StoreClock {

	/**
	 * Returns the lower bound of the current time of the store.
	 * @return the time in milliseconds, -1 if unknown
	 */
	long earliestMs();

	/**
	 * Returns the upper bound of the current time of the store.
	 * @return the time in milliseconds, -1 if unknown
	 */
	long latestMs();

}
