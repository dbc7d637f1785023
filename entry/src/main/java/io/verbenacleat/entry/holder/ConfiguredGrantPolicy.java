package io.verbenacleat.entry.holder;

import io.verbenacleat.core.config.BudgetConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.budget.AdaptiveGrantPolicy;
import io.verbenacleat.entry.budget.GrantDemand;
import io.verbenacleat.entry.budget.GrantPolicy;

/**
 * A grant policy that delegates to the preset named in the current configuration. Safe
 * for use by several threads.
 */
public final class ConfiguredGrantPolicy implements GrantPolicy {

	private final Blackboard blackboard;

	/**
	 * Creates a policy.
	 * @param blackboard the source of the configuration
	 */
	public ConfiguredGrantPolicy(Blackboard blackboard) {
		this.blackboard = blackboard;
	}

	@Override
	public long extraTokens(GrantDemand demand) {
		return preset().extraTokens(demand);
	}

	@Override
	public long returnedTokens(GrantDemand demand) {
		return preset().returnedTokens(demand);
	}

	private GrantPolicy preset() {
		OfficeConfig config = this.blackboard.read(EntryStateKeys.CONFIG);
		BudgetConfig budget = (config != null) ? config.budget() : BudgetConfig.DEFAULT;
		return AdaptiveGrantPolicy.of(budget.preset());
	}

}
