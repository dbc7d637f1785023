package io.verbenacleat.bench.evenload;

import io.verbenacleat.bench.evenload.LoadCase.Faults;
import io.verbenacleat.router.balance.ExpectedTimeSelection.Weights;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * The decisions of 22 routers in front of 30 servers of unequal speed, with old reports.
 */
public class LoadRunTests {

	private static final long DURATION_US = 10_000_000;

	private static final Contender EXPECTED_TIME = Contender.expected("expected-time", Weights.DEFAULT, false);

	@DataProvider
	public Object[][] faults() {
		return new Object[][] { { Faults.NONE }, { new Faults(0.5, 0, false, false) },
				{ new Faults(0, 0.3, false, false) }, { new Faults(0, 0, true, false) },
				{ new Faults(0, 0, false, true) } };
	}

	// Guards against servers that are overrun in turns while others idle, when reports
	// are old, lost or overtaken, when routers end and join, and when servers restart.
	// least-loaded shows the failure on the same load.
	@Test(dataProvider = "faults")
	public void serversAreNotOverrunInTurns(Faults faults) {
		LoadStatistics present = run(Contender.present(), faults);
		LoadStatistics expected = run(EXPECTED_TIME, faults);
		assertTrue(present.fullPercent() > 5, "full with least-loaded: " + present.fullPercent());
		assertTrue(expected.fullPercent() < present.fullPercent() / 2, "full: " + expected.fullPercent());
		assertTrue(expected.busiestToMean() < present.busiestToMean(), "busiest: " + expected.busiestToMean());
		assertTrue(expected.latePercent() < present.latePercent() / 2, "late: " + expected.latePercent());
		assertEquals(expected.polls, present.polls);
	}

	// Guards against results that cannot be reproduced from the seed.
	@Test
	public void runsAreReproducible() {
		assertEquals(run(EXPECTED_TIME, Faults.NONE).csvLine("a", "b"),
				run(EXPECTED_TIME, Faults.NONE).csvLine("a", "b"));
	}

	private static LoadStatistics run(Contender contender, Faults faults) {
		LoadCase loadCase = new LoadCase("test", 22, 30, EvenLoadExperiment.FAST, EvenLoadExperiment.KINDS_A, 1.25,
				faults, DURATION_US);
		return new LoadRun(loadCase, contender, 20261206).run();
	}

}
