package io.verbenacleat.entry.request;

import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.budget.BudgetRouter;
import io.verbenacleat.entry.claim.ClaimStore;
import io.verbenacleat.entry.dispatch.AgentSelector;
import io.verbenacleat.entry.dispatch.OrderResolver;
import io.verbenacleat.entry.dispatch.OrderSender;
import io.verbenacleat.entry.dispatch.OrderSequences;
import io.verbenacleat.entry.dispatch.RetryBudget;
import io.verbenacleat.entry.dispatch.RunMetrics;

/**
 * The components that all requests of an entry share. Immutable; each component is safe
 * for use by several threads.
 */
record RunnerComponents(Blackboard blackboard, ControlThread control, BudgetRouter budget, AgentSelector selector,
		OrderSequences sequences, OrderSender sender, OrderResolver resolver, RetryBudget retryBudget,
		ShareLimiter shareLimiter, ClaimStore claims, RunMetrics metrics) {

	/**
	 * Returns the default retry delay, for refusals without a more specific one.
	 * @return the delay in milliseconds
	 */
	long retryAfterMs() {
		return limits().retryAfterMs();
	}

	/**
	 * Returns the configured limits.
	 * @return the limits, or the defaults if there is no configuration yet
	 */
	LimitsConfig limits() {
		OfficeConfig config = this.blackboard.read(EntryStateKeys.CONFIG);
		return (config != null) ? config.limits() : LimitsConfig.DEFAULT;
	}

}
