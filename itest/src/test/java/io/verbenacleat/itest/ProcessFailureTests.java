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
	private static final int FLEETS_AT_A_TIME = 2;

	private final Semaphore fleets = new Semaphore(FLEETS_AT_A_TIME);

	@DataProvider(parallel = true)
	Object[][] scenarios() {
		Object[][] rows = new Object[Scenario.values().length][];
		for (Scenario scenario : Scenario.values()) {
			rows[scenario.ordinal()] = new Object[] { scenario };
		}
		return rows;
	}

	@Test(dataProvider = "scenarios")
	void billsStayRight(Scenario scenario) throws Exception {
		this.fleets.acquire();
		try {
			scenario.run(SEED + scenario.ordinal());
		}
		finally {
			this.fleets.release();
		}
	}

}
