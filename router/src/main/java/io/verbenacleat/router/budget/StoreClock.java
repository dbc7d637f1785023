package io.verbenacleat.router.budget;

/**
 * The steady clock of the store, as far as its answers tell. Implementations are safe for
 * use by several threads.
 */
public interface StoreClock {

	/**
	 * Returns the earliest time that it can be at the store.
	 * @return the time in milliseconds, -1 when it is not known
	 */
	long earliestMs();

	/**
	 * Returns the latest time that it can be at the store.
	 * @return the time in milliseconds, -1 when it is not known
	 */
	long latestMs();

}
