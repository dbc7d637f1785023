package io.verbenacleat.core.account;

import java.util.Map;

import io.verbenacleat.core.journal.JournalRow;

/**
 * Replaces grants of closed holders by their final figures. To fold a grant means to
 * remove it from the account and to add what was spent and held on it to the settled and
 * held tokens. Stateless.
 */
public final class ClosedGrants {

	private ClosedGrants() {
	}

	/**
	 * Folds the grants of closed holders into an account.
	 * @param account the account as read
	 * @param finalRows the final rows of closed holders by incarnation; rows of holders
	 * without a grant are ignored
	 * @return the changed copy, or the same instance if no grant is folded
	 */
	public static Account fold(Account account, Map<String, JournalRow> finalRows) {
		Account folded = account;
		for (Map.Entry<String, Grant> entry : account.grants().entrySet()) {
			JournalRow finalRow = finalRows.get(entry.getKey());
			if (finalRow != null) {
				folded = fold(folded, entry.getKey(), entry.getValue(), finalRow);
			}
		}
		return folded;
	}

	private static Account fold(Account account, String holder, Grant grant, JournalRow finalRow) {
		long spentTokens = finalRow.spentByAccount().getOrDefault(account.id(), 0L) - grant.spentBaseTokens();
		long heldTokens = finalRow.heldByAccount().getOrDefault(account.id(), 0L) - grant.heldBaseTokens();
		if (finalRow.restHeld()) {
			heldTokens = Math.max(heldTokens, grant.grantedTokens() - spentTokens);
		}
		return account.withClosedGrant(holder, spentTokens, heldTokens);
	}

}
