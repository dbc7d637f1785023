package io.verbenacleat.router.log;

import java.util.concurrent.atomic.AtomicLong;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class DecisionLogTests {

	@Test
	public void linesAboveTheRateLimitAreDroppedAndCounted() {
		AtomicLong clockMs = new AtomicLong(5_000);
		DecisionLog log = new DecisionLog(clockMs::get);
		for (int i = 0; i < DecisionLog.MAX_LINES_PER_SECOND + 3; i++) {
			log.event("test").emit();
		}
		assertEquals(log.dropped(), 3);
		clockMs.addAndGet(1_000);
		log.event("test").emit();
		assertEquals(log.dropped(), 3);
	}

	@Test
	public void aBackwardClockStepDoesNotStopTheLog() {
		AtomicLong clockMs = new AtomicLong(5_000);
		DecisionLog log = new DecisionLog(clockMs::get);
		for (int i = 0; i < DecisionLog.MAX_LINES_PER_SECOND; i++) {
			log.event("test").emit();
		}
		clockMs.set(1_000);
		log.event("test").emit();
		assertEquals(log.dropped(), 0);
	}

}
