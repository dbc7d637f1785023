package io.verbenacleat.router.relay;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Loads of callers that are refused at the same time and come back once.
 */
public class ReturnTimeTests {

	/** A started router has tokens this long after it listens. */
	private static final long TOKENS_AFTER_START_MS = 600;

	private static final int CALLERS = 300;

	// The load: all routers lose power; callers that reach one of them while it starts
	// return once, with 4 s left, and must not meet the start again.
	@Test
	public void callersOfAStartingRouterReturnWhenItServes() {
		Random random = new Random(20261204);
		int tooEarly = 0;
		int[] perTenth = new int[20];
		for (int i = 0; i < CALLERS; i++) {
			long afterMs = ReturnTime.afterMs(Refusal.NOT_CONFIGURED, 0, 4_000, random.nextDouble());
			tooEarly += (afterMs < TOKENS_AFTER_START_MS) ? 1 : 0;
			perTenth[(int) (afterMs / 100)]++;
		}
		assertEquals(tooEarly, 0);
		for (int count : perTenth) {
			assertTrue(count < CALLERS / 2, "returns bunch: " + count + " in a tenth of a second");
		}
	}

	@Test
	public void aKnownEndIsStatedAsItIs() {
		assertEquals(ReturnTime.afterMs(Refusal.NO_SERVER, 2_000, 1_000, 0), 2_000);
	}

	@Test
	public void aStoppingRouterSendsCallersElsewhereSoon() {
		assertTrue(ReturnTime.afterMs(Refusal.STOPPING, 0, 4_000, 0.99) <= 300);
	}

	@Property(seed = "20261204")
	public void anEstimateStaysWithinAThirdOfTheTimeLeft(@ForAll @IntRange(min = -5, max = 60_000) int leftMs,
			@ForAll @IntRange(min = 0, max = 99) int percent) {
		for (Refusal refusal : Refusal.values()) {
			if (refusal.isTemporary()) {
				long afterMs = ReturnTime.afterMs(refusal, 0, leftMs, percent / 100.0);
				assertTrue(afterMs >= 0 && afterMs <= Math.max(0, leftMs) / 3.0);
			}
		}
	}

}
