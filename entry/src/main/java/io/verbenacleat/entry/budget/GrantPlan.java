package io.verbenacleat.entry.budget;

import io.verbenacleat.core.account.Account;
import org.jspecify.annotations.Nullable;

/**
 * A planned write of an account row. Immutable.
 *
 * @param row the row to write
 * @param write whether the row needs to be written
 * @param grantedTokens the granted tokens after the write
 * @param removal the totals of this holder when the grant entry is removed, or
 * {@code null} when it stays
 */
record GrantPlan(Account row, boolean write, long grantedTokens, AccountState.@Nullable Removal removal) {
}
