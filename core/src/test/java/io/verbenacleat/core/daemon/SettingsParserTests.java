package io.verbenacleat.core.daemon;

import java.util.Map;

import org.kohsuke.args4j.Option;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Tests the precedence of flags over environment variables, and that invalid settings are
 * rejected with a clear message.
 */
public class SettingsParserTests {

	@Test
	public void aFlagOverridesTheEnvironmentVariable() throws UsageException {
		assertEquals(parse(Map.of("VERBENA_SOME_PORT", "7"), "--some-port", "8").port, 8);
		assertEquals(parse(Map.of("VERBENA_SOME_PORT", "7")).port, 7);
	}

	@Test
	public void switchesAreReadFromTheEnvironment() throws UsageException {
		assertTrue(parse(Map.of("VERBENA_SOME_SWITCH", "true")).on);
		assertFalse(parse(Map.of("VERBENA_SOME_SWITCH", "false")).on);
	}

	@Test
	public void anInvalidSwitchValueIsRejectedWithTheAllowedValues() {
		UsageException failure = expectThrows(UsageException.class,
				() -> parse(Map.of("VERBENA_SOME_SWITCH", "maybe")));
		assertEquals(failure.getMessage(), "VERBENA_SOME_SWITCH: found 'maybe', allowed is true or false");
	}

	@Test
	public void anUnknownFlagIsRejected() {
		expectThrows(UsageException.class, () -> parse(Map.of(), "--other"));
	}

	private static Settings parse(Map<String, String> environment, String... args) throws UsageException {
		Settings settings = new Settings();
		new SettingsParser("test", environment).parse(settings, args);
		return settings;
	}

	private static final class Settings {

		@Option(name = "--some-port")
		private int port;

		@Option(name = "--some-switch")
		private boolean on;

	}

}
