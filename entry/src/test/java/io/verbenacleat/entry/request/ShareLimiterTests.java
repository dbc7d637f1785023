package io.verbenacleat.entry.request;

import java.util.List;

import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.WorkspaceWeight;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

/**
 * Guards against a workspace or account that uses the whole entry so that requests of
 * others are refused, and against limits that count requests which have ended.
 */
public class ShareLimiterTests {

	private final ShareLimiter limiter = new ShareLimiter();

	@Test
	public void boundsAWorkspaceByItsShareAboveHalf() {
		LimitsConfig limits = limits(0, List.of(new WorkspaceWeight("large", 3)));
		assertNull(this.limiter.tryAdmit(limits, "a", "small"));
		for (int i = 0; i < 6; i++) {
			assertNull(this.limiter.tryAdmit(limits, "b", "large"));
		}
		assertEquals(code(limits, "b", "large"), RefusalCode.WORKSPACE_OVERLOADED);
		assertNull(this.limiter.tryAdmit(limits, "a", "small"));
		assertEquals(code(limits, "a", "small"), RefusalCode.WORKSPACE_OVERLOADED);
		this.limiter.release("b", "large");
		assertNull(this.limiter.tryAdmit(limits, "b", "large"));
	}

	@Test
	public void boundsAnAccountUntilItsRequestsEnd() {
		LimitsConfig limits = limits(1, List.of());
		assertNull(this.limiter.tryAdmit(limits, "pans", "workshop"));
		assertEquals(code(limits, "pans", "workshop"), RefusalCode.ACCOUNT_OVERLOADED);
		assertNull(this.limiter.tryAdmit(limits, "quotes", "workshop"));
		this.limiter.release("pans", "workshop");
		assertNull(this.limiter.tryAdmit(limits, "pans", "workshop"));
	}

	private RefusalCode code(LimitsConfig limits, String account, String workspace) {
		Refusal refusal = this.limiter.tryAdmit(limits, account, workspace);
		if (refusal == null) {
			throw new AssertionError("admitted over the limit");
		}
		return refusal.code();
	}

	private static LimitsConfig limits(int perAccount, List<WorkspaceWeight> weights) {
		return new LimitsConfig(1_024, 1_000, 8, 1_000, 0, 2_000, perAccount, weights);
	}

}
