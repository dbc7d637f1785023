package io.verbenacleat.entry.budget;

import java.time.Clock;
import java.util.Map;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.ClosedGrants;
import io.verbenacleat.core.account.Grant;
import io.verbenacleat.core.journal.JournalRow;

/**
 * Plans the writes of account rows: folds the grants of closed holders into the account,
 * and raises, lowers or removes the grant of this holder. Used on the control thread
 * only.
 */
final class GrantPlanner {

	/** Long enough that an account with one request a minute keeps its grant entry. */
	static final long UNUSED_AFTER_MS = 90_000;

	private final String holder;

	private final String address;

	private final GrantPolicy policy;

	private final Clock clock;

	GrantPlanner(String holder, String address, GrantPolicy policy, Clock clock) {
		this.holder = holder;
		this.address = address;
		this.policy = policy;
		this.clock = clock;
	}

	/**
	 * Plans a write on the basis of a row just read, and marks the waiting reservations
	 * as planned.
	 * @param state the account at this holder
	 * @param current the account row
	 * @param finalRows the final rows of the closed holders that have a grant, by holder
	 * incarnation
	 * @param returnAll whether to remove a grant at once when nothing uses it
	 * @return the plan
	 */
	GrantPlan plan(AccountState state, Account current, Map<String, JournalRow> finalRows, boolean returnAll) {
		Account row = ClosedGrants.fold(current, finalRows);
		boolean unused = returnAll || this.clock.millis() - state.lastUsedAtMs >= UNUSED_AFTER_MS;
		if (unused && state.removable()) {
			boolean hasGrant = row.grant(this.holder) != null;
			Account updated = (hasGrant) ? state.withoutGrant(row, this.holder) : row;
			return new GrantPlan(updated, hasGrant || row != current, 0, (hasGrant) ? state.removal() : null);
		}
		long grantedTokens = state.grantedTokens + changeTokens(state, Math.max(0, row.ungrantedTokens()));
		Grant grant = state.grant(this.address, grantedTokens);
		boolean write = row != current || grantedTokens != state.grantedTokens;
		if (grantedTokens == 0 && row.grant(this.holder) == null) {
			return new GrantPlan(row, write, 0, null);
		}
		return new GrantPlan(row.withGrant(this.holder, grant), write || isOutdated(row, grant), grantedTokens, null);
	}

	private boolean isOutdated(Account row, Grant grant) {
		Grant written = row.grant(this.holder);
		return written != null
				&& (written.spentTokens() != grant.spentTokens() || written.heldTokens() != grant.heldTokens());
	}

	private long changeTokens(AccountState state, long ungrantedTokens) {
		long freeTokens = state.freeTokens();
		long shortfallTokens = shortfallTokens(state, ungrantedTokens);
		GrantDemand demand = new GrantDemand(state.rate.perSecond(this.clock.millis()), freeTokens, shortfallTokens,
				ungrantedTokens);
		if (shortfallTokens > 0) {
			return Math.max(shortfallTokens, Math.min(ungrantedTokens, this.policy.extraTokens(demand)));
		}
		if (state.waiters.isEmpty() && freeTokens > 0) {
			return -Math.max(0, Math.min(freeTokens, this.policy.returnedTokens(demand)));
		}
		return 0;
	}

	/**
	 * Returns how many tokens the grant lacks for those waiting reservations that the
	 * budget can cover, in arrival order, and for receipts billed beyond the grant.
	 * @param state the account at this holder
	 * @param ungrantedTokens the tokens that no grant covers
	 * @return the tokens, at least zero and at most the ungranted tokens
	 */
	private static long shortfallTokens(AccountState state, long ungrantedTokens) {
		long freeTokens = state.freeTokens();
		long coveredTokens = 0;
		for (Waiter waiter : state.waiters) {
			waiter.planned = true;
			if (coveredTokens + waiter.reservation.tokens() <= freeTokens + ungrantedTokens) {
				coveredTokens += waiter.reservation.tokens();
			}
		}
		return Math.max(0, Math.min(ungrantedTokens, coveredTokens - freeTokens));
	}

}
