package io.verbenacleat.router.relay;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests when callers that were refused at the same time retry.
 */
public class RetryAfterPolicyTests {

	/** Time from the start of a router until it has tokens. */
	private static final long TOKENS_AFTER_START_MS = 600;

	private static final int CALLERS = 300;

	// After a power failure all routers start at the same time. A caller with 4 s left
	// that a starting router refuses retries once, and must not reach a router that is
	// still starting.
	@Test
	public void callersOfAStartingRouterRetryAfterItIsReady() {
		Random random = new Random(20261204);
		int tooEarly = 0;
		int[] retriesPerTenthOfSecond = new int[20];
		for (int i = 0; i < CALLERS; i++) {
			long afterMs = RetryAfterPolicy.retryAfterMs(Refusal.NOT_CONFIGURED, 0, 4_000, random.nextDouble());
			tooEarly += (afterMs < TOKENS_AFTER_START_MS) ? 1 : 0;
			retriesPerTenthOfSecond[(int) (afterMs / 100)]++;
		}
		assertEquals(tooEarly, 0);
		for (int count : retriesPerTenthOfSecond) {
			assertTrue(count < CALLERS / 2, "too many retries at the same time: " + count + " in a tenth of a second");
		}
	}

	@Test
	public void aKnownDelayIsUsedUnchanged() {
		assertEquals(RetryAfterPolicy.retryAfterMs(Refusal.NO_SERVER, 2_000, 1_000, 0), 2_000);
	}

	@Test
	public void callersOfAStoppingRouterRetryWithin300Ms() {
		assertTrue(RetryAfterPolicy.retryAfterMs(Refusal.STOPPING, 0, 4_000, 0.99) <= 300);
	}

	@Property(seed = "20261204")
	public void anEstimateStaysWithinAThirdOfTheRemainingTime(@ForAll @IntRange(min = -5, max = 60_000) int remainingMs,
			@ForAll @IntRange(min = 0, max = 99) int percent) {
		for (Refusal refusal : Refusal.values()) {
			if (refusal.isTemporary()) {
				long afterMs = RetryAfterPolicy.retryAfterMs(refusal, 0, remainingMs, percent / 100.0);
				assertTrue(afterMs >= 0 && afterMs <= Math.max(0, remainingMs) / 3.0);
			}
		}
	}

}
