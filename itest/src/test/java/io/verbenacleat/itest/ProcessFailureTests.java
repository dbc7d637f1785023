package io.verbenacleat.itest;

import java.util.concurrent.Semaphore;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against overspending, requests that are billed twice or not at all, answers that
 * are not the caller's own, and requests that run although their caller was told that
 * they did not, while processes are killed, paused and cut off from each other.
 */
public class ProcessFailureTests {

	private static final long SEED = 20_261_204;

	/** Two fleets are 20 processes. */
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
