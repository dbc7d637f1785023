package io.verbenacleat.router.budget;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class GrantSizingTests {

	@Test
	public void theTargetCoversDemandWhileTokensSuffice() {
		assertEquals(GrantSizing.targetTokens(1_000_000, 0, 0, 0, 1_000, 3_000, 0, 2), 20_000);
		assertEquals(GrantSizing.targetTokens(1_000_000, 0, 0, 0, 10_000, 3_000, 0, 2), 120_000);
	}

	@Test
	public void scarceTokensAreSharedByDemand() {
		assertEquals(GrantSizing.targetTokens(5_000, 1_000, 4_000, 0, 3_000, 1_000, 0, 2), 6_000);
		assertEquals(GrantSizing.targetTokens(9_000, 0, 1_000, 0, 1_000, 3_000, 0, 2), 2_000);
	}

	@Test
	public void aShareThatIsTooSmallForARequestIsNotHeld() {
		assertEquals(GrantSizing.targetTokens(90_000, 0, 10_000, 0, 1_000, 32_000, 5_000, 33), 0);
		assertEquals(GrantSizing.targetTokens(90_000, 0, 10_000, 4_000, 1_000, 32_000, 5_000, 33), 4_000);
	}

	@Test
	public void idleRoutersHoldAtMostAFifthTogether() {
		assertEquals(GrantSizing.targetTokens(1_000_000, 0, 0, 0, 0, 1_000, 100, 40), 5_000);
		assertTrue(40 * GrantSizing.maxRemainderTokens(1_000_000, 40) <= 20_000);
	}

	@Property(seed = "20261204")
	public void theTargetNeverExceedsTheAvailableTokens(@ForAll @LongRange(min = -1_000_000, max = 1_000_000) long pool,
			@ForAll @LongRange(min = 0, max = 100_000) long held,
			@ForAll @LongRange(min = 0, max = 100_000) long waiting,
			@ForAll @LongRange(min = 0, max = 100_000) long demand) {
		long target = GrantSizing.targetTokens(pool, held, 1_000, waiting, demand, 500, 300, 33);
		assertTrue(target >= 0 && target <= Math.max(0, pool + held));
	}

}
