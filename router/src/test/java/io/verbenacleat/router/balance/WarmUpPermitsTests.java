package io.verbenacleat.router.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Permits of one router, and what servers state of their warm-up.
 */
public class WarmUpPermitsTests {

	private static final long START_MS = 1_000_000;

	private long nowMs;

	private long clockWidthMs;

	private PermitSchedule schedule = newSchedule();

	@BeforeMethod
	public void setUp() {
		this.nowMs = START_MS;
		this.clockWidthMs = 0;
		this.schedule = newSchedule();
		this.schedule.setMembers(new FleetMembers("a", List.of("a")));
	}

	@DataProvider
	public Object[][] limits() {
		return new Object[][] { { 12, 23, 12 }, { 12, 12, 8 }, { 1, 1.5, 0.7 }, { 0.5, 1, 0.5 }, { 3, 0.9, 0 },
				{ 200, 305, 200 }, { 9, 100, 9 } };
	}

	// Guards against a rate and a validity that together exceed the bound after an idle
	// time, for any settings.
	@Test(dataProvider = "limits")
	public void burstsStayWithinTheBound(double toleratedPerS, double maxInASecond, double servedPerS) {
		WarmUpPermits permits = permits(toleratedPerS, maxInASecond);
		Deque<Long> sent = new ArrayDeque<>();
		int count = 0;
		for (int i = 0; i < 40_000; i++) {
			this.nowMs++;
			boolean idle = i > 20_000 && (i / 1_300) % 2 == 0;
			while (!idle && permits.tryTake(this.nowMs)) {
				sent.add(this.nowMs);
				count += (i < 20_000) ? 1 : 0;
			}
			sent.removeIf((atMs) -> atMs <= this.nowMs - 1_000);
			assertTrue(sent.size() <= maxInASecond, sent.size() + " requests in a second");
		}
		assertTrue(count >= 0.9 * servedPerS * 20, count + " requests in 20 s");
	}

	// Guards against permits that are used too early or too late by an inaccurate clock.
	@Test
	public void aClockThatIsTooInaccurateGivesNoPermits() {
		this.clockWidthMs = 900;
		WarmUpPermits permits = permits(12, 23);
		this.nowMs += 5_000;
		assertFalse(permits.isAvailable(this.nowMs));
	}

	// Guards against a flood by a router that does not know how many others there are.
	@Test
	public void aRouterWithoutMembersHasNoPermits() {
		this.schedule.setMembers(FleetMembers.unknown());
		WarmUpPermits permits = permits(12, 23);
		this.nowMs += 5_000;
		assertFalse(permits.isAvailable(this.nowMs));
		assertEquals(permits.nextPermitDelayMs(this.nowMs), -1);
	}

	// Guards against callers that are told to return before there is a permit.
	@Test
	public void theNextPermitIsThereAfterItsDelayAndNotBefore() {
		this.schedule.setMembers(new FleetMembers("a", List.of("a", "b", "c", "d", "e", "f")));
		WarmUpPermits permits = permits(12, 23);
		for (int i = 0; i < 50; i++) {
			while (permits.tryTake(this.nowMs)) {
				assertTrue(permits.nextPermitDelayMs(this.nowMs) >= 0);
			}
			long delayMs = permits.nextPermitDelayMs(this.nowMs);
			this.nowMs += delayMs - 1;
			assertFalse(permits.isAvailable(this.nowMs));
			this.nowMs++;
			assertTrue(permits.isAvailable(this.nowMs));
		}
	}

	// Guards against requests to a server that got many just before its warm-up was
	// known.
	@Test
	public void heldPermitsAreNotUsed() {
		WarmUpPermits permits = new WarmUpPermits(12, 23, "i-0", this.schedule, 1_000, this.nowMs);
		for (; this.nowMs <= START_MS + 1_000; this.nowMs++) {
			assertFalse(permits.isAvailable(this.nowMs));
		}
		this.nowMs += 200;
		assertTrue(permits.isAvailable(this.nowMs));
	}

	// Guards against a row that was written before the server began to warm up and
	// arrives after its response.
	@Test
	public void anEarlierEndAppliesOnlyIfItWasCertainlyStatedLater() {
		WarmUpPhase phase = new WarmUpPhase();
		phase.onStated(10_000, 1_000);
		phase.onStated(0, 1_500);
		assertEquals(phase.remainingMs(2_000, 0), 9_000);
		phase.onStated(9_500, 2_000);
		assertEquals(phase.remainingMs(2_000, 0), 9_500);
		phase.onStated(100, 4_900);
		assertEquals(phase.remainingMs(5_000, 0), 6_500);
		phase.onStated(100, 5_000);
		assertEquals(phase.remainingMs(5_000, 0), 100);
	}

	@Test
	public void aStartedServerWarmsUpUnlessItStatesOtherwise() {
		WarmUpPhase phase = new WarmUpPhase();
		assertEquals(phase.remainingMs(1_000, 6_000), 0);
		phase.onStarted(1_000);
		assertEquals(phase.remainingMs(2_000, 6_000), 5_000);
		phase.onStated(0, 2_000);
		assertEquals(phase.remainingMs(2_000, 6_000), 0);
	}

	private PermitSchedule newSchedule() {
		return new PermitSchedule(() -> this.nowMs, () -> this.nowMs + this.clockWidthMs);
	}

	private WarmUpPermits permits(double toleratedPerS, double maxInASecond) {
		return new WarmUpPermits(toleratedPerS, maxInASecond, "i-0", this.schedule, 0, this.nowMs);
	}

}
