package io.verbenacleat.router.balance;

/**
 * The position of a router among all routers of the fleet, by which they share what a
 * backend server accepts from all of them. Immutable.
 *
 * @param rank the number of this router, from 0 inclusive to the number of routers
 * exclusive
 * @param routerCount the number of routers including this one, 0 when unknown
 */
public record FleetPosition(int rank, int routerCount) {

	private static final FleetPosition UNKNOWN = new FleetPosition(0, 0);

	/**
	 * Returns the position of a router that does not know the fleet.
	 * @return the unknown position
	 */
	public static FleetPosition unknown() {
		return UNKNOWN;
	}

	/**
	 * Returns whether the position is known.
	 * @return {@code false} for {@link #unknown}
	 */
	public boolean isKnown() {
		return this.routerCount > 0;
	}

}
