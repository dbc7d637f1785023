package io.verbenacleat.entry.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.ManualControlThread;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against retries that multiply the load, and against a budget that allows no
 * retries at low load.
 */
class RetryBudgetPropertyTests {

	@Property(seed = "20261204")
	void eachSecondAllowsATenthOfThePreviousRequestsOrThree(
			@ForAll @Size(min = 1, max = 30) List<@IntRange(max = 100) Integer> requestsBySecond) {
		ManualControlThread control = new ManualControlThread(Instant.EPOCH);
		RetryBudget budget = new RetryBudget(control.clock(), new RunMetrics(new PrometheusRegistry()));
		int before = 0;
		for (int requests : requestsBySecond) {
			for (int i = 0; i < requests; i++) {
				budget.onRequest();
			}
			int granted = 0;
			while (budget.tryRetry("refused")) {
				granted++;
			}
			assertEquals(granted, Math.max(3, before / 10));
			before = requests;
			control.advance(Duration.ofSeconds(1));
		}
	}

	@Property(seed = "20261204")
	void retriesStayWithinBudgetForAnySchedule(
			@ForAll @Size(max = 200) List<@IntRange(min = -300, max = 700) Integer> steps) {
		ManualControlThread control = new ManualControlThread(Instant.EPOCH);
		RetryBudget budget = new RetryBudget(control.clock(), new RunMetrics(new PrometheusRegistry()));
		long forwardMs = 0;
		int granted = 0;
		for (int stepMs : steps) {
			control.stepClock(Duration.ofMillis(stepMs));
			forwardMs += Math.max(0, stepMs);
			budget.onRequest();
			granted += (budget.tryRetry("refused")) ? 1 : 0;
		}
		assertTrue(granted <= 3 * (1 + forwardMs / 1000) + steps.size() / 10);
	}

}
