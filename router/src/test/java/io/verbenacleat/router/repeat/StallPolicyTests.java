package io.verbenacleat.router.repeat;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * The patterns: a jump of traffic that makes requests wait at working servers, a server
 * that falls silent, a connection that falls silent.
 */
public class StallPolicyTests {

	private static final long TARGET_MS = 600;

	// Day load-troubles of gctg-router: 106 requests were moved away from busy servers.
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
