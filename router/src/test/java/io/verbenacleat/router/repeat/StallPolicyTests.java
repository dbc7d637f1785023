package io.verbenacleat.router.repeat;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Stall detection for requests that are queued at busy servers after a surge of traffic,
 * for silent servers, and for silent connections.
 */
public class StallPolicyTests {

	private static final long TARGET_MS = 600;

	// Requests queued at busy servers counted as stalled, and 106 of them were moved to
	// other servers (day load-troubles of gctg-router).
	@Test
	public void aRequestQueuedAtAWorkingServerIsNotStalled() {
		assertFalse(StallPolicy.isStalled(1_000, false, true, TARGET_MS));
	}

	@Test
	public void aRequestAtASilentServerIsStalled() {
		assertTrue(StallPolicy.isStalled(800, true, true, TARGET_MS));
	}

	@Test
	public void aSilentConnectionIsStalledAtAWorkingServer() {
		assertTrue(StallPolicy.isStalled(2_000, false, true, TARGET_MS));
	}

	@Test
	public void aRequestToAPlainServiceIsStalledAtItsTargetLatency() {
		assertFalse(StallPolicy.isStalled(250, false, false, 300));
		assertTrue(StallPolicy.isStalled(350, false, false, 300));
	}

}
