package io.verbenacleat.entry.budget;

/**
 * Adds the same number of tokens at each renewal and returns none until the account is
 * unused. Serves as a baseline for measurements. Immutable.
 *
 * @param stepTokens the tokens of one renewal, more than zero
 */
public record FixedGrantPolicy(long stepTokens) implements GrantPolicy {

	@Override
	public long extraTokens(GrantDemand demand) {
		return Math.min(demand.ungrantedTokens(), Math.max(this.stepTokens, demand.shortfallTokens()));
	}

	@Override
	public long returnedTokens(GrantDemand demand) {
		return 0;
	}

}
