package io.verbenacleat.itest;

import java.util.concurrent.Semaphore;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs each {@link Scenario}: processes are killed, paused and partitioned under load.
 * Guards against spending over the budget, requests billed twice or not at all, answers
 * sent to the wrong caller, and requests executed although their response said not-run.
 */
public class ProcessFailureTests {

	private static final long SEED = 20_261_204;

	/** Each fleet runs 10 processes. */
	private static final int MAX_CONCURRENT_FLEETS = 2;

	private final Semaphore fleetPermits = new Semaphore(MAX_CONCURRENT_FLEETS);

	@DataProvider(parallel = true)
	Object[][] scenarios() {
		Object[][] rows = new Object[Scenario.values().length][];
		for (Scenario scenario : Scenario.values()) {
			rows[scenario.ordinal()] = new Object[] { scenario };
		}
		return rows;
	}

	@Test(dataProvider = "scenarios")
	void billsMatchExecutions(Scenario scenario) throws Exception {
		this.fleetPermits.acquire();
		try {
			scenario.run(SEED + scenario.ordinal());
		}
		finally {
			this.fleetPermits.release();
		}
	}

}
