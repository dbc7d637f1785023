package io.verbenacleat.bench;

import io.verbenacleat.core.daemon.ExitCode;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class ExperimentMainTests {

	// Guards against an experiment that runs despite a misspelled name or flag, or
	// without a seed.
	@Test
	void refusesBadUsage() {
		assertEquals(ExperimentMain.run(), ExitCode.USAGE);
		assertEquals(ExperimentMain.run("grants"), ExitCode.USAGE);
		assertEquals(ExperimentMain.run("grant", "--seed", "1"), ExitCode.USAGE);
		assertEquals(ExperimentMain.run("grants", "--seed", "one"), ExitCode.USAGE);
		assertEquals(ExperimentMain.run("grants", "--seed", "1", "--unknown"), ExitCode.USAGE);
	}

}
