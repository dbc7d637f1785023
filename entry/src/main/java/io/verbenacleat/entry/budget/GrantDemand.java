package io.verbenacleat.entry.budget;

/**
 * What a {@link GrantPolicy} knows about one account at one holder. Immutable.
 *
 * @param ratePerSecond the tokens spent per second, averaged with exponential decay
 * @param freeTokens granted tokens that are neither spent, held nor reserved; negative
 * when more was billed than granted
 * @param shortfallTokens tokens that waiting requests need beyond the free ones, and that
 * the budget can cover
 * @param ungrantedTokens tokens of the account that no grant covers
 */
public record GrantDemand(double ratePerSecond, long freeTokens, long shortfallTokens, long ungrantedTokens) {
}
