package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests fleets in which each router receives only a few requests of a workspace per
 * second.
 */
public class LargeFleetLoadTests {

	private static final int ROUTERS = 33;

	private static final int SMALL_TOKENS = 1_100;

	private static final int LARGE_TOKENS = 9_300;

	private static final Duration REQUEST_INTERVAL = Duration.ofMillis(150);

	/** Requests that fit into this fraction of the allowance must be served. */
	private static final double GUARANTEED_FRACTION = 0.97;

	// One workspace sends 7 requests per second of two sizes to 33 routers until its
	// allowance is used up. Guards against refusals while other routers hold parts of the
	// allowance that are too small for a request.
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
		assertTrue(refusedGuaranteed == 0,
				refusedGuaranteed + " guaranteed requests were refused, " + fleet.served + " served");
	}

}
