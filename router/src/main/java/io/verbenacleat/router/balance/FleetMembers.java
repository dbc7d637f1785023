package io.verbenacleat.router.balance;

import java.util.List;

/**
 * The routers that share the permits of a backend server, as this router knows them.
 * Immutable.
 *
 * @param self the key of this router, empty while its position is unknown
 * @param keys the keys of all routers including this one, empty while the position is
 * unknown
 */
public record FleetMembers(String self, List<String> keys) {

	private static final FleetMembers UNKNOWN = new FleetMembers("", List.of());

	/**
	 * Creates members with a copy of the list.
	 */
	public FleetMembers {
		keys = List.copyOf(keys);
	}

	/**
	 * Returns the members as a router knows them that other routers may not know.
	 * @return no members
	 */
	public static FleetMembers unknown() {
		return UNKNOWN;
	}

	/**
	 * Returns whether the members are known, and know this router.
	 * @return {@code false} for {@link #unknown}
	 */
	public boolean isKnown() {
		return !this.keys.isEmpty();
	}

}
