package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Loads of fleets in which each router sees only a few requests of a workspace in a
 * second.
 */
public class LargeFleetLoadTests {

	private static final int ROUTERS = 33;

	private static final int SMALL_TOKENS = 1_100;

	private static final int LARGE_TOKENS = 9_300;

	private static final Duration REQUEST_INTERVAL = Duration.ofMillis(150);

	/** The platform takes requests as owed that fit into this part of the allowance. */
	private static final double GUARANTEED_FRACTION = 0.97;

	// The load: one workspace, 7 requests a second of two sizes, spread over 33 routers
	// until its allowance is used up. Parts of the allowance that are too small for a
	// request must not be left at routers while others refuse.
	@Test
	public void anAllowanceIsUsedUpBeforeRequestsAreRefused() {
		LedgerFleet fleet = new LedgerFleet(ROUTERS, 1_000_000);
		fleet.peerFault = LedgerFleet.PeerFault.NONE;
		Random random = new Random(20261204);
		long refusedGuaranteed = 0;
		for (int i = 0; i < 260; i++) {
			long tokens = (random.nextInt(2) == 0) ? SMALL_TOKENS : LARGE_TOKENS;
			boolean guaranteed = fleet.usedTokens + tokens <= fleet.allowance * GUARANTEED_FRACTION;
			long refusedBefore = fleet.refusedTemporarily + fleet.refusedAsExhausted;
			fleet.routers.get(random.nextInt(ROUTERS)).request(tokens);
			fleet.advance(REQUEST_INTERVAL);
			if (guaranteed) {
				refusedGuaranteed += fleet.refusedTemporarily + fleet.refusedAsExhausted - refusedBefore;
			}
		}
		assertTrue(fleet.usedTokens <= fleet.allowance);
		assertTrue(fleet.usedTokens > fleet.allowance * GUARANTEED_FRACTION - LARGE_TOKENS, "used " + fleet.usedTokens);
		assertTrue(refusedGuaranteed == 0, refusedGuaranteed + " owed requests were refused, " + fleet.served + " served");
	}

}
