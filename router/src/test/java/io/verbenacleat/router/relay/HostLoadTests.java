package io.verbenacleat.router.relay;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests the admission of requests on hosts with slow links.
 */
public class HostLoadTests {

	private static final double LINK_MBPS = 7;

	private static final int BODY_BYTES = 9_200;

	private static final long TARGET_MS = 315;

	// A caller hash gives a small host 120 large requests a second, 1.5 times what its
	// link
	// carries. Guards against a queue that grows until every request is late.
	@Test
	public void theExcessOfASmallHostIsRefusedAndTheRestIsInTime() {
		HostLoad host = new HostLoad(LINK_MBPS);
		int accepted = 0;
		long longestWaitMs = 0;
		for (int i = 0; i < 1_200; i++) {
			long nowMs = i * 1_000L / 120;
			if (host.accepts(BODY_BYTES, TARGET_MS, nowMs)) {
				longestWaitMs = Math.max(longestWaitMs, host.expectedWaitMs(BODY_BYTES, nowMs));
				host.onMessage(BODY_BYTES, nowMs);
				accepted++;
			}
		}
		assertTrue(longestWaitMs <= TARGET_MS / 2, "wait " + longestWaitMs);
		assertTrue(accepted > 700 && accepted < 900, "accepted " + accepted);
	}

	// Guards against refusals on hosts that carry their load, also in short bursts.
	@Test
	public void aHostWithRoomRefusesNothing() {
		HostLoad host = new HostLoad(LINK_MBPS);
		for (int i = 0; i < 1_000; i++) {
			long nowMs = (i / 4) * 80L;
			assertTrue(host.accepts(BODY_BYTES, TARGET_MS, nowMs), "request " + i);
			host.onMessage(BODY_BYTES, nowMs);
			host.onBodyPart(500, nowMs);
		}
	}

	@Test
	public void aHostWithAnUnknownLinkRefusesNothing() {
		HostLoad host = new HostLoad(0);
		host.onMessage(1 << 30, 0);
		assertEquals(host.expectedWaitMs(BODY_BYTES, 0), 0);
		assertTrue(host.accepts(BODY_BYTES, TARGET_MS, 0));
	}

}
