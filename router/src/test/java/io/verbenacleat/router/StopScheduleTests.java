package io.verbenacleat.router;

import java.time.Duration;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class StopScheduleTests {

	// A drain that was too short cut a stream 6.6 s after SIGTERM
	// (hunt 206d, mix --seed 35366793554 of spk-router).
	@Test
	public void drainUsesMostOfTheGracePeriod() {
		StopSchedule schedule = StopSchedule.of(Duration.ofSeconds(8));
		assertTrue(schedule.drain().toMillis() > 8_000 * 5 / 6, schedule.toString());
		assertTrue(schedule.drain().plus(schedule.grantReturn()).toMillis() < 8_000, schedule.toString());
	}

	@Test
	public void aShortGracePeriodLeavesNoDrainTime() {
		assertEquals(StopSchedule.of(Duration.ofMillis(100)).drain(), Duration.ZERO);
	}

}
