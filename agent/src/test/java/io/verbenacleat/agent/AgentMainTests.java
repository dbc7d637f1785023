package io.verbenacleat.agent;

import java.util.Map;

import io.verbenacleat.core.daemon.ExitCode;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against an agent that starts with invalid settings.
 */
public class AgentMainTests {

	private static final Map<String, String> COMPLETE = Map.of("VERBENA_NAME", "agent", "VERBENA_REGION", "r",
			"VERBENA_ZONE", "z", "VERBENA_SITE", "s", "VERBENA_SERVER", "server-1", "VERBENA_FLEET_SECRET",
			"0123456789abcdef", "VERBENA_PLATFORM_URL", "http://127.0.0.1:1");

	@Test
	public void returnsUsageCodeForInvalidSettings() {
		assertEquals(AgentMain.process().start(new String[0], Map.of()), ExitCode.USAGE);
		assertEquals(AgentMain.process().start(new String[] { "--unknown" }, COMPLETE), ExitCode.USAGE);
		assertEquals(AgentMain.process().start(new String[] { "--max-in-progress", "0" }, COMPLETE), ExitCode.USAGE);
		assertEquals(AgentMain.process().start(new String[] { "--backend-url", "engine" }, COMPLETE), ExitCode.USAGE);
		assertEquals(AgentMain.process().start(new String[] { "--fleet-secret", "short" }, COMPLETE), ExitCode.USAGE);
		assertEquals(AgentMain.process().start(new String[] { "--platform-url", "http://a:99999" }, COMPLETE),
				ExitCode.USAGE);
	}

	@Test
	public void returnsDoneForHelpAndVersion() {
		assertEquals(AgentMain.process().start(new String[] { "--help" }, Map.of()), ExitCode.DONE);
		assertEquals(AgentMain.process().start(new String[] { "--version" }, Map.of()), ExitCode.DONE);
	}

}
