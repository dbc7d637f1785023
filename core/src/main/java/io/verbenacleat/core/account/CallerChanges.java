package io.verbenacleat.core.account;

import java.util.ArrayList;
import java.util.List;

/**
 * The row {@code callers-changes}: the accounts whose callers changed last, so that
 * holders can drop what they have cached. Immutable.
 *
 * @param changes the last changes, oldest first
 */
public record CallerChanges(List<Change> changes) {

	/** The table key of the row. */
	public static final String KEY = "callers-changes";

	/** How many changes the row keeps; a reader further behind drops its whole cache. */
	public static final int MAX_CHANGES = 1000;

	/**
	 * Creates a row from a copy of the list.
	 */
	public CallerChanges {
		changes = (changes != null) ? List.copyOf(changes) : List.of();
	}

	/**
	 * Returns these changes with one more, without those beyond the limit.
	 * @param accountId the account that changed
	 * @return the changed copy
	 */
	public CallerChanges plus(String accountId) {
		List<Change> changed = new ArrayList<>(this.changes);
		long number = (changed.isEmpty()) ? 1 : changed.get(changed.size() - 1).number() + 1;
		changed.add(new Change(number, accountId));
		int surplus = Math.max(0, changed.size() - MAX_CHANGES);
		return new CallerChanges(changed.subList(surplus, changed.size()));
	}

	/**
	 * One change. Immutable.
	 *
	 * @param number counts from 1
	 * @param accountId the account
	 */
	public record Change(long number, String accountId) {
	}

}
