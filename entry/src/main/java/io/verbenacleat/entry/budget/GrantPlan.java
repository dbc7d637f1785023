package io.verbenacleat.entry.budget;

import io.verbenacleat.core.account.Account;
import org.jspecify.annotations.Nullable;

/**
 * One decision about the account row. Immutable.
 *
 * @param row the row to write
 * @param write whether there is anything to write
 * @param grantedTokens the granted tokens after the write
 * @param removal the figures added to the account when the grant entry is removed, or
 * {@code null} when it stays
 */
record GrantPlan(Account row, boolean write, long grantedTokens, AccountState.@Nullable Removal removal) {
}
