package io.verbenacleat.core.config;

import java.util.List;

/**
 * How the budgets of an office are held. Immutable.
 *
 * @param preset the trade-off between false refusals and tokens out of reach
 * @param hotAccounts the accounts with more than one home holder per site
 */
public record BudgetConfig(Preset preset, List<HotAccount> hotAccounts) {

	/** The settings of an office that sets none. */
	public static final BudgetConfig DEFAULT = new BudgetConfig(Preset.COOPERATIVE, List.of());

	/**
	 * Creates settings with a copy of the list.
	 */
	public BudgetConfig {
		hotAccounts = List.copyOf(hotAccounts);
	}

	/**
	 * Returns the number of home holders that an account has at each site.
	 * @param accountId the id of the account
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
	 * The trade-off between false refusals, of requests that the budget covers, and
	 * tokens out of reach when a holder is lost. No preset can overspend a budget.
	 */
	public enum Preset {

		/** Larger grants, for fewer false refusals. */
		GUILD,

		/** Smaller grants, for fewer tokens out of reach when a holder is lost. */
		COOPERATIVE

	}

	/**
	 * An account with so many requests that one holder per site would be overloaded.
	 * Immutable.
	 *
	 * @param name the id of the account
	 * @param holdersPerSite the number of home holders at each site, 1 or more
	 */
	public record HotAccount(String name, int holdersPerSite) {
	}

}
