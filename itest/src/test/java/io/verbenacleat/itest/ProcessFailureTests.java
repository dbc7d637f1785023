package io.verbenacleat.itest;

import java.util.concurrent.Semaphore;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs each {@link Scenario}: processes are killed, paused and partitioned under load.
 * Guards against spending over the budget, requests billed twice or not at all, answers
 * sent to the wrong caller, and requests executed although their response said not-run.
 */
public class ProcessFailureTests {

	private static final String KNOWN_RED = "known-red";

	private static final long SEED = 20_261_204;

	/** Each fleet runs 10 processes. */
	private static final int MAX_CONCURRENT_FLEETS = 2;

	private final Semaphore fleetPermits = new Semaphore(MAX_CONCURRENT_FLEETS);

	@DataProvider(parallel = true)
	Object[][] scenarios() {
		return Stream.of(Scenario.values())
			.filter((scenario) -> scenario != Scenario.KILL_AGENT_AND_ENTRY)
			.map((scenario) -> new Object[] { scenario })
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "scenarios")
	void billsMatchExecutions(Scenario scenario) throws Exception {
		run(scenario);
	}

	@Test(groups = KNOWN_RED)
	void billsMatchExecutionsAfterAnAgentAndAnEntryAreKilled() throws Exception {
		run(Scenario.KILL_AGENT_AND_ENTRY);
	}

	private void run(Scenario scenario) throws Exception {
		this.fleetPermits.acquire();
		try {
			scenario.run(SEED + scenario.ordinal());
		}
		finally {
			this.fleetPermits.release();
		}
	}

}
