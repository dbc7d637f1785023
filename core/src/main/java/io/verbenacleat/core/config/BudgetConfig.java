package io.verbenacleat.core.config;

import java.util.List;

/**
 * How the budgets of an office are held. Immutable.
 *
 * @param preset which of the two measures weighs more
 * @param hotAccounts accounts with more than one home holder per site
 */
public record BudgetConfig(Preset preset, List<HotAccount> hotAccounts) {

	/** The settings of an office that gives none. */
	public static final BudgetConfig DEFAULT = new BudgetConfig(Preset.COOPERATIVE, List.of());

	/**
	 * Creates settings from a copy of the list.
	 */
	public BudgetConfig {
		hotAccounts = List.copyOf(hotAccounts);
	}

	/**
	 * Returns how many home holders an account has at each site.
	 * @param accountId the account
	 * @return the number, 1 or more
	 */
	public int holdersPerSite(String accountId) {
		return this.hotAccounts.stream()
			.filter((hot) -> hot.name().equals(accountId))
			.mapToInt(HotAccount::holdersPerSite)
			.findFirst()
			.orElse(1);
	}

	/**
	 * Which measure weighs more. No preset can overspend.
	 */
	public enum Preset {

		/** Larger grants: fewer false refusals. */
		GUILD,

		/** Smaller grants: fewer tokens out of reach when a holder is lost. */
		COOPERATIVE

	}

	/**
	 * An account that is drawn on so much that one holder per site would be too few.
	 *
	 * @param name the account id
	 * @param holdersPerSite the number of home holders at each site, 1 or more
	 */
	public record HotAccount(String name, int holdersPerSite) {
	}

}
