package io.verbenacleat.router.budget;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the rows that a router changes in one transaction. Stateless.
 * <p>
 * A transaction fails as a whole when another router has changed one of its rows, so with
 * many rows in it a router on a small host rarely gets a single one through. Rows whose
 * last write has failed are therefore written one at a time, and the others together.
 */
final class ChangeSelection {

	private ChangeSelection() {
	}

	/**
	 * Selects the rows of the next transaction. Those for which requests wait come first.
	 * @param accounts the accounts whose rows are to be changed
	 * @param limitsFirst whether requests wait for the new limit in the router row, which
	 * a conflict would delay
	 * @return the accounts to change now; empty only if {@code accounts} is, or if only
	 * contended rows are left and limits come first
	 */
	static Set<GrantAccount> select(Collection<GrantAccount> accounts, boolean limitsFirst) {
		List<GrantAccount> quiet = accounts.stream().filter((account) -> !account.isContended()).toList();
		Optional<GrantAccount> contended = accounts.stream()
			.filter(GrantAccount::isContended)
			.max(Comparator.comparingLong((GrantAccount account) -> account.wallet().waitingTokens()));
		boolean quietFirst = limitsFirst || contended.isEmpty() || quiet.stream().anyMatch(ChangeSelection::isAwaited)
				|| (!quiet.isEmpty() && !isAwaited(contended.get()));
		return quietFirst ? new HashSet<>(quiet) : Set.of(contended.get());
	}

	private static boolean isAwaited(GrantAccount account) {
		return account.wallet().waitingTokens() > account.wallet().heldTokens();
	}

}
