package io.verbenacleat.core.account;

import java.util.ArrayList;
import java.util.List;

/**
 * The row {@code callers-changes}: the most recent changes of callers, from which holders
 * find the cached callers to invalidate. Immutable.
 *
 * @param changes the most recent changes, oldest first; {@code null} in a row means none
 */
public record CallerChanges(List<Change> changes) {

	/** The table key of the row. */
	public static final String KEY = "callers-changes";

	/** The maximum number of changes; a reader further behind drops its whole cache. */
	public static final int MAX_CHANGES = 1000;

	/**
	 * Creates a row with a copy of the list.
	 */
	public CallerChanges {
		changes = (changes != null) ? List.copyOf(changes) : List.of();
	}

	/**
	 * Returns a copy of these changes with one added; drops the oldest changes beyond
	 * {@link #MAX_CHANGES}.
	 * @param accountId the account whose callers changed
	 * @return the changed copy
	 */
	public CallerChanges plus(String accountId) {
		List<Change> changed = new ArrayList<>(this.changes);
		long number = (changed.isEmpty()) ? 1 : changed.get(changed.size() - 1).number() + 1;
		changed.add(new Change(number, accountId));
		int excess = Math.max(0, changed.size() - MAX_CHANGES);
		return new CallerChanges(changed.subList(excess, changed.size()));
	}

	/**
	 * One change. Immutable.
	 *
	 * @param number the consecutive number of the change, from 1
	 * @param accountId the account whose callers changed
	 */
	public record Change(long number, String accountId) {
	}

}
