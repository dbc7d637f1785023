package io.verbenacleat.entry.budget;

import io.verbenacleat.core.config.BudgetConfig;

/**
 * Sizes a grant to last for a horizon at the current spending rate, with a minimum, and
 * limits it to a share of the ungranted tokens. The same share limits the tokens that a
 * holder retains, so that the last tokens of a budget return to the account, where one
 * request can use them together; a share too small for a large request is returned
 * completely. The shortfall of waiting requests is always covered. Immutable.
 *
 * @param horizonSeconds for how long a grant should last, in seconds
 * @param minimumTokens the smallest grant while the share allows it
 * @param share the largest part of the ungranted tokens in one renewal, 0 to 1
 * @param idleFactor the surplus is returned when the free tokens exceed the wanted tokens
 * by more than this factor, 1 or more
 * @param minimumKeptTokens a share smaller than this is returned completely, since small
 * remainders at several holders add up to tokens that no request can use
 */
public record AdaptiveGrantPolicy(double horizonSeconds, long minimumTokens, double share, double idleFactor,
		long minimumKeptTokens) implements GrantPolicy {

	/**
	 * The largest reservation of a usual request; a smaller remainder does not cover it
	 * alone.
	 */
	private static final long LARGE_REQUEST_TOKENS = 8_192;

	/**
	 * Creates a policy that retains a share of any size.
	 * @param horizonSeconds for how long a grant should last, in seconds
	 * @param minimumTokens the smallest grant while the share allows it
	 * @param share the largest part of the ungranted tokens in one renewal, 0 to 1
	 * @param idleFactor the surplus is returned when the free tokens exceed the wanted
	 * tokens by more than this factor, 1 or more
	 */
	public AdaptiveGrantPolicy(double horizonSeconds, long minimumTokens, double share, double idleFactor) {
		this(horizonSeconds, minimumTokens, share, idleFactor, 0);
	}

	/**
	 * Returns the policy of a preset. The horizons outlast short partitions from the
	 * table service, and the shares are small enough that a nearly used-up budget stays
	 * in few pieces; docs/results/grants.md has the measurements.
	 * @param preset the preset
	 * @return the policy
	 */
	public static AdaptiveGrantPolicy of(BudgetConfig.Preset preset) {
		return switch (preset) {
			case GUILD -> new AdaptiveGrantPolicy(1_800, 50_000, 0.1, 2, LARGE_REQUEST_TOKENS);
			case COOPERATIVE -> new AdaptiveGrantPolicy(300, 4_000, 0.02, 1.5, LARGE_REQUEST_TOKENS);
		};
	}

	@Override
	public long extraTokens(GrantDemand demand) {
		long wantedTokens = Math.min(wantedTokens(demand), (long) (this.share * demand.ungrantedTokens()));
		return Math.min(demand.ungrantedTokens(), Math.max(wantedTokens, demand.shortfallTokens()));
	}

	@Override
	public long returnedTokens(GrantDemand demand) {
		long spareTokens = (long) (this.share * (demand.ungrantedTokens() + demand.freeTokens()));
		long wantedTokens = (spareTokens < this.minimumKeptTokens) ? 0 : Math.min(wantedTokens(demand), spareTokens);
		boolean idle = demand.freeTokens() > this.idleFactor * wantedTokens;
		return (idle) ? demand.freeTokens() - wantedTokens : 0;
	}

	private long wantedTokens(GrantDemand demand) {
		return Math.max(this.minimumTokens, (long) (demand.ratePerSecond() * this.horizonSeconds));
	}

}
