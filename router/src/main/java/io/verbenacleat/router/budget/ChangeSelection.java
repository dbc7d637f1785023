package io.verbenacleat.router.budget;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.verbenacleat.core.platform.TransactionRoom;

/**
 * Selects the rows that a router changes in one transaction. Stateless.
 * <p>
 * A transaction fails as a whole when another router has changed one of its rows, so with
 * many rows in it a router on a small host rarely gets a single one through. Rows whose
 * last write has failed are therefore written a few at a time, and the others together,
 * as many as the store accepts.
 */
final class ChangeSelection {

	/**
	 * Transactions in which all contended rows are written, so that a router gets through
	 * those of hundreds of workspaces in time. Up to this number they are written one at
	 * a time.
	 */
	private static final int MAX_CONTENDED_WRITES = 24;

	private ChangeSelection() {
	}

	/**
	 * Selects the rows of the next transaction. Those for which requests wait come first.
	 * @param accounts the accounts whose rows are to be changed
	 * @param limitsFirst whether requests wait for the new limit in the router row, which
	 * a conflict would delay
	 * @param room the room that the router row leaves in the transaction
	 * @return the accounts to change now; empty only if {@code accounts} is, if only
	 * contended rows are left and limits come first, or if there is no room
	 */
	static Set<GrantAccount> select(Collection<GrantAccount> accounts, boolean limitsFirst, TransactionRoom room) {
		List<GrantAccount> quiet = accounts.stream().filter((account) -> !account.isContended()).toList();
		List<GrantAccount> contended = accounts.stream()
			.filter(GrantAccount::isContended)
			.sorted(Comparator.comparingLong((GrantAccount account) -> -account.wallet().waitingTokens())
				.thenComparingInt(GrantAccount::order))
			.toList();
		boolean quietFirst = limitsFirst || contended.isEmpty() || quiet.stream().anyMatch(ChangeSelection::isAwaited)
				|| (!quiet.isEmpty() && !isAwaited(contended.get(0)));
		if (quietFirst) {
			List<GrantAccount> ordered = quiet.stream()
				.sorted(Comparator.comparing((GrantAccount account) -> !isAwaited(account))
					.thenComparingInt(GrantAccount::order))
				.toList();
			return fitting(ordered, room);
		}
		int count = (contended.size() + MAX_CONTENDED_WRITES - 1) / MAX_CONTENDED_WRITES;
		return fitting(contended.subList(0, count), room);
	}

	private static Set<GrantAccount> fitting(List<GrantAccount> accounts, TransactionRoom room) {
		return accounts.stream()
			.takeWhile((account) -> room.tryPut(account.key(), account.maxRowBytes()))
			.collect(Collectors.toCollection(LinkedHashSet::new));
	}

	private static boolean isAwaited(GrantAccount account) {
		return account.wallet().waitingTokens() > account.wallet().heldTokens();
	}

}
