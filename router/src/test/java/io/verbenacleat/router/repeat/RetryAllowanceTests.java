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

public class RetryAllowanceTests {

	private static final double RATIO = 0.2;

	private static final double EXTRA = 5;

	private static final int WINDOW_MS = 10_000;

	private long nowMs;

	@Test
	public void withoutRequestsOnlyTheFixedPartIsAllowed() {
		RetryAllowance allowance = allowance();
		for (int i = 0; i < EXTRA; i++) {
			assertTrue(allowance.tryRepeat("s"));
		}
		assertFalse(allowance.tryRepeat("s"));
		assertTrue(allowance.tryRepeat("t"));
	}

	// A fleet that has grown: the fixed part is for all routers together.
	@Test
	public void moreRoutersShareTheFixedPart() {
		int routers = 28;
		int allowed = 0;
		for (int i = 0; i < routers; i++) {
			RetryAllowance allowance = new RetryAllowance(RATIO, 96, 8, WINDOW_MS, () -> this.nowMs);
			allowance.setRouters(routers);
			while (allowance.tryRepeat("s")) {
				allowed++;
			}
		}
		assertTrue(allowed <= 96 && allowed > 48, "allowed " + allowed);
	}

	@Test
	public void repeatsAreForgottenAfterTheWindow() {
		RetryAllowance allowance = allowance();
		while (allowance.tryRepeat("s")) {
			assertTrue(this.nowMs < WINDOW_MS);
		}
		this.nowMs += WINDOW_MS + 1_001;
		assertTrue(allowance.tryRepeat("s"));
	}

	// The budget of the whole fleet, in any window, with the requests of that window or
	// of the one before.
	@Property(seed = "20261204", tries = 200)
	public void noWindowHasMoreRepeatsThanTheBudget(
			@ForAll @Size(min = 50, max = 400) List<@IntRange(min = 0, max = 3) Integer> steps) {
		this.nowMs = 0;
		RetryAllowance allowance = allowance();
		List<Long> requests = new ArrayList<>();
		List<Long> repeats = new ArrayList<>();
		for (int step : steps) {
			this.nowMs += 40L * step;
			allowance.onRequest("s");
			requests.add(this.nowMs);
			for (int i = 0; i < step; i++) {
				if (allowance.tryRepeat("s")) {
					repeats.add(this.nowMs);
				}
			}
		}
		for (long end : repeats) {
			long inWindow = repeats.stream().filter((at) -> at <= end && at > end - WINDOW_MS).count();
			long before = requests.stream().filter((at) -> at <= end && at > end - WINDOW_MS).count();
			assertTrue(inWindow <= RATIO * before + EXTRA, inWindow + " repeats for " + before + " requests");
		}
	}

	@Test
	public void onlyWhatCannotHaveRunOrMayRunTwiceIsRepeated() {
		assertFalse(RepeatPolicy.mayRepeat(RequestKind.NOT_REPEATABLE, 1, 2, true));
		assertTrue(RepeatPolicy.mayRepeat(RequestKind.NOT_REPEATABLE, 1, 2, false));
		assertFalse(RepeatPolicy.mayRepeat(RequestKind.STREAM, 1, 2, true));
		assertTrue(RepeatPolicy.mayRepeat(RequestKind.RESUMABLE_STREAM, 1, 2, true));
		assertTrue(RepeatPolicy.mayRepeat(RequestKind.IDEMPOTENT, 1, 2, true));
		assertFalse(RepeatPolicy.mayRepeat(RequestKind.IDEMPOTENT, 2, 2, true));
		assertEquals(RepeatPolicy.mayRepeat(RequestKind.STREAM, 1, 1, false), false);
	}

	private RetryAllowance allowance() {
		return new RetryAllowance(RATIO, EXTRA, 1, WINDOW_MS, () -> this.nowMs);
	}

}
