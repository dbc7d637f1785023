package io.verbenacleat.router.repeat;

import java.util.ArrayList;
import java.util.List;

import io.verbenacleat.router.config.RequestKind;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RetryBudgetTests {

	private static final double RATIO = 0.2;

	private static final double EXTRA = 5;

	private static final int WINDOW_MS = 10_000;

	private long nowMs;

	@Test
	public void withoutRequestsOnlyTheExtraRetriesAreAllowed() {
		RetryBudget budget = newBudget();
		for (int i = 0; i < EXTRA; i++) {
			assertTrue(budget.tryAcquire("s"));
		}
		assertFalse(budget.tryAcquire("s"));
		assertTrue(budget.tryAcquire("t"));
	}

	// When the fleet grows, the extra retries of all routers together must not increase.
	@Test
	public void allRoutersShareTheExtraRetries() {
		int routers = 28;
		int allowed = 0;
		for (int i = 0; i < routers; i++) {
			RetryBudget budget = new RetryBudget(RATIO, 96, 8, WINDOW_MS, () -> this.nowMs);
			budget.setRouterCount(routers);
			while (budget.tryAcquire("s")) {
				allowed++;
			}
		}
		assertTrue(allowed <= 96 && allowed > 48, "allowed " + allowed);
	}

	// After a restart of the fleet without the store, no router knows how many others
	// there
	// are, and each of them would take the part of a small fleet.
	@Test
	public void routersThatDoNotKnowTheFleetTogetherStayWithinTheExtraRetries() {
		int allowed = 0;
		for (int i = 0; i < 28; i++) {
			RetryBudget budget = new RetryBudget(RATIO, 96, 8, WINDOW_MS, () -> this.nowMs);
			while (budget.tryAcquire("s")) {
				allowed++;
			}
		}
		assertTrue(allowed <= 96, "allowed " + allowed);
	}

	@Test
	public void retriesExpireWithTheWindow() {
		RetryBudget budget = newBudget();
		while (budget.tryAcquire("s")) {
			assertTrue(this.nowMs < WINDOW_MS);
		}
		this.nowMs += WINDOW_MS + 1_001;
		assertTrue(budget.tryAcquire("s"));
	}

	// Checks every window that ends with a retry against the requests in that window.
	@Property(seed = "20261204", tries = 200)
	public void retriesInAnyWindowStayWithinTheBudget(
			@ForAll @Size(min = 50, max = 400) List<@IntRange(min = 0, max = 3) Integer> steps) {
		this.nowMs = 0;
		RetryBudget budget = newBudget();
		List<Long> requests = new ArrayList<>();
		List<Long> retries = new ArrayList<>();
		for (int step : steps) {
			this.nowMs += 40L * step;
			budget.onRequest("s");
			requests.add(this.nowMs);
			for (int i = 0; i < step; i++) {
				if (budget.tryAcquire("s")) {
					retries.add(this.nowMs);
				}
			}
		}
		for (long end : retries) {
			long inWindow = retries.stream().filter((at) -> at <= end && at > end - WINDOW_MS).count();
			long before = requests.stream().filter((at) -> at <= end && at > end - WINDOW_MS).count();
			assertTrue(inWindow <= RATIO * before + EXTRA, inWindow + " retries for " + before + " requests");
		}
	}

	@Test
	public void aRequestThatMayHaveRunIsRetriedOnlyIfItIsRetryable() {
		assertFalse(RetryPolicy.mayRetry(RequestKind.NOT_REPEATABLE, 1, 2, true));
		assertTrue(RetryPolicy.mayRetry(RequestKind.NOT_REPEATABLE, 1, 2, false));
		assertFalse(RetryPolicy.mayRetry(RequestKind.STREAM, 1, 2, true));
		assertTrue(RetryPolicy.mayRetry(RequestKind.RESUMABLE_STREAM, 1, 2, true));
		assertTrue(RetryPolicy.mayRetry(RequestKind.IDEMPOTENT, 1, 2, true));
		assertFalse(RetryPolicy.mayRetry(RequestKind.IDEMPOTENT, 2, 2, true));
		assertEquals(RetryPolicy.mayRetry(RequestKind.STREAM, 1, 1, false), false);
	}

	private RetryBudget newBudget() {
		RetryBudget budget = new RetryBudget(RATIO, EXTRA, 1, WINDOW_MS, () -> this.nowMs);
		budget.setRouterCount(1);
		return budget;
	}

}
