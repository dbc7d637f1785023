package io.verbenacleat.core.account;

import java.util.Map;

import io.verbenacleat.core.journal.JournalRow;

/**
 * Adds the grants of closed holders to the figures of their accounts. Stateless.
 */
public final class ClosedGrants {

	private ClosedGrants() {
	}

	/**
	 * Folds the grants of closed holders.
	 * @param account the account as read
	 * @param finalRows the final rows of closed holders by incarnation; others are
	 * ignored
	 * @return the changed copy, or the same instance when no grant is folded
	 */
	public static Account fold(Account account, Map<String, JournalRow> finalRows) {
		Account folded = account;
		for (Map.Entry<String, Grant> entry : account.grants().entrySet()) {
			JournalRow last = finalRows.get(entry.getKey());
			if (last != null) {
				folded = fold(folded, entry.getKey(), entry.getValue(), last);
			}
		}
		return folded;
	}

	private static Account fold(Account account, String closed, Grant grant, JournalRow last) {
		long spentTokens = last.spentByAccount().getOrDefault(account.id(), 0L) - grant.spentBaseTokens();
		long heldTokens = last.heldByAccount().getOrDefault(account.id(), 0L) - grant.heldBaseTokens();
		if (last.restHeld()) {
			heldTokens = Math.max(heldTokens, grant.grantedTokens() - spentTokens);
		}
		return account.withClosedGrant(closed, spentTokens, heldTokens);
	}

}
