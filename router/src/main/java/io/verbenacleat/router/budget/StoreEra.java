package io.verbenacleat.router.budget;

/**
 * The era of the store, which rises each time the store comes back from an older copy of
 * its rows. Versions of rows and positions in a feed are valid in one era only.
 * Implementations are safe for use by several threads.
 * <p>
 * A response belongs to the current era if that is the same before its call was sent and
 * after it was received.
 */
public interface StoreEra {

	/** The era before the first response. */
	long UNKNOWN = -1;

	/**
	 * Returns the highest era in any response so far.
	 * @return the era, {@link #UNKNOWN} before the first response
	 */
	long current();

}
