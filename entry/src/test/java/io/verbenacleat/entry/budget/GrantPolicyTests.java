package io.verbenacleat.entry.budget;

import io.verbenacleat.core.config.BudgetConfig;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class GrantPolicyTests {

	// Guards against grants that do not follow the rate, or exceed the share or the
	// budget.
	@Test
	void sizesGrantsByRateShareAndShortfall() {
		AdaptiveGrantPolicy policy = new AdaptiveGrantPolicy(10, 100, 0.1, 2);
		assertEquals(policy.extraTokens(new GrantDemand(0, 0, 1, 10_000)), 100);
		assertEquals(policy.extraTokens(new GrantDemand(50, 0, 1, 10_000)), 500);
		assertEquals(policy.extraTokens(new GrantDemand(500, 0, 1, 10_000)), 1_000);
		assertEquals(policy.extraTokens(new GrantDemand(0, 0, 2_000, 10_000)), 2_000);
		assertEquals(policy.extraTokens(new GrantDemand(500, 0, 30, 30)), 30);
	}

	// Guards against idle grants that stay, and against returning tokens in use.
	@Test
	void returnsIdleTokens() {
		AdaptiveGrantPolicy policy = new AdaptiveGrantPolicy(10, 100, 0.1, 2);
		assertEquals(policy.returnedTokens(new GrantDemand(0, 1_000, 0, 10_000)), 900);
		assertEquals(policy.returnedTokens(new GrantDemand(0, 200, 0, 10_000)), 0);
		assertEquals(policy.returnedTokens(new GrantDemand(60, 1_000, 0, 10_000)), 0);
		assertEquals(new FixedGrantPolicy(10).returnedTokens(new GrantDemand(0, 1_000, 0, 0)), 0);
	}

	// Guards against a used-up budget whose last tokens stay split across holders.
	@Test
	void returnsTokensAboveTheShareOfTheRemainder() {
		AdaptiveGrantPolicy policy = new AdaptiveGrantPolicy(10, 100, 0.1, 2);
		assertEquals(policy.returnedTokens(new GrantDemand(60, 1_000, 0, 0)), 900);
		assertEquals(policy.returnedTokens(new GrantDemand(60, 200, 0, 0)), 180);
		assertEquals(policy.returnedTokens(new GrantDemand(60, 200, 0, 1_000)), 0);
	}

	// Guards against remainders at several holders, each too small for a request.
	@Test
	void returnsSharesBelowTheMinimum() {
		AdaptiveGrantPolicy policy = new AdaptiveGrantPolicy(10, 100, 0.1, 2, 8_192);
		assertEquals(policy.returnedTokens(new GrantDemand(60, 1_000, 0, 10_000)), 1_000);
		assertEquals(policy.returnedTokens(new GrantDemand(60, 1_000, 0, 1_000_000)), 0);
	}

	// Guards against presets that are mixed up.
	@Test
	void grantsMoreInTheGuildPreset() {
		GrantDemand demand = new GrantDemand(100, 0, 1, 1_000_000);
		assertTrue(AdaptiveGrantPolicy.of(BudgetConfig.Preset.GUILD)
			.extraTokens(demand) > AdaptiveGrantPolicy.of(BudgetConfig.Preset.COOPERATIVE).extraTokens(demand));
	}

	// Guards against a rate that does not decay, and against a clock that steps back.
	@Test
	void decaysTheRate() {
		SpendingRate rate = new SpendingRate();
		rate.add(300, 60_000);
		double first = rate.perSecond(60_000);
		assertTrue(rate.perSecond(90_000) < first / 2);
		assertEquals(rate.perSecond(0), first);
	}

}
