package io.verbenacleat.entry.budget;

import io.verbenacleat.core.config.BudgetConfig;

/**
 * Sizes a grant by the spending rate over a horizon, with a minimum, and limits it to a
 * share of the ungranted tokens. The same share limits what a holder keeps, so that the
 * last tokens of a budget come back to where one request can find them together. The
 * shortfall of waiting requests is always covered. Immutable.
 *
 * @param horizonSeconds for how long a grant should last, in seconds
 * @param minimumTokens the smallest grant while the share allows it
 * @param share the largest part of the ungranted tokens in one renewal, 0 to 1
 * @param idleFactor a grant with more free tokens than this many times the wanted ones
 * gives back the surplus, 1 or more
 */
public record AdaptiveGrantPolicy(double horizonSeconds, long minimumTokens, double share,
		double idleFactor) implements GrantPolicy {

	/**
	 * Returns the policy of a preset. The horizons outlast short partitions from the
	 * table service, and the shares are small enough that a budget nearly used up stays
	 * in few pieces; docs/results/grants.md has the measurements.
	 * @param preset the preset
	 * @return the policy
	 */
	public static AdaptiveGrantPolicy of(BudgetConfig.Preset preset) {
		return switch (preset) {
			case GUILD -> new AdaptiveGrantPolicy(1_800, 50_000, 0.1, 2);
			case COOPERATIVE -> new AdaptiveGrantPolicy(300, 4_000, 0.02, 1.5);
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
		long wantedTokens = Math.min(wantedTokens(demand), spareTokens);
		boolean idle = demand.freeTokens() > this.idleFactor * wantedTokens;
		return (idle) ? demand.freeTokens() - wantedTokens : 0;
	}

	private long wantedTokens(GrantDemand demand) {
		return Math.max(this.minimumTokens, (long) (demand.ratePerSecond() * this.horizonSeconds));
	}

}
