package io.verbenacleat.entry.budget;

/**
 * The demand for tokens of one account at one holder, on which a {@link GrantPolicy}
 * bases its decision. Immutable.
 *
 * @param ratePerSecond the tokens spent per second, as an average with exponential decay
 * @param freeTokens granted tokens that are neither spent, held nor reserved; negative
 * when more was billed than granted
 * @param shortfallTokens tokens that waiting requests need in addition to the free ones,
 * as far as the budget can cover them
 * @param ungrantedTokens tokens of the account that no grant covers
 */
public record GrantDemand(double ratePerSecond, long freeTokens, long shortfallTokens, long ungrantedTokens) {
}
