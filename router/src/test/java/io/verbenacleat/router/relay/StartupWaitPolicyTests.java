package io.verbenacleat.router.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against refusals after a power failure, when callers send requests while all
 * routers start.
 */
public class StartupWaitPolicyTests {

	/** Time from the start of a router until it has its configuration. */
	private static final long CONFIGURED_MS = 300;

	/** Time from the start of a router until it has tokens. */
	private static final long TOKENS_AVAILABLE_MS = 900;

	private static final int CALLERS = 200;

	// Requests arrive evenly over the first 1.5 s of a router, as in a recorded power
	// failure.
	@Test
	public void callersOfAStartingRouterAreServed() {
		int refused = 0;
		for (int i = 0; i < CALLERS; i++) {
			long arrivedAtMs = StartupWaitPolicy.STARTUP_MS * i / CALLERS;
			long configuredAtMs = Math.max(arrivedAtMs, CONFIGURED_MS);
			long tokensAtMs = Math.max(configuredAtMs, TOKENS_AVAILABLE_MS);
			boolean served = StartupWaitPolicy.shouldWaitForConfiguration(configuredAtMs, configuredAtMs - arrivedAtMs)
					&& StartupWaitPolicy.shouldWaitForTokens(tokensAtMs, tokensAtMs - configuredAtMs);
			refused += served ? 0 : 1;
		}
		assertEquals(refused, 0);
	}

	@Test
	public void requestsAreNotHeldAfterStartupOrBeyondTheMaximumWait() {
		assertFalse(StartupWaitPolicy.shouldWaitForConfiguration(StartupWaitPolicy.STARTUP_MS + 1, 0));
		assertFalse(StartupWaitPolicy.shouldWaitForConfiguration(800, StartupWaitPolicy.MAX_CONFIG_WAIT_MS + 1));
		assertFalse(StartupWaitPolicy.shouldWaitForTokens(60_000, StartupWaitPolicy.MAX_TOKEN_WAIT_MS + 1));
	}

	@Test
	public void aRequestThatArrivesBeforeTheConfigurationWaitsForIt() throws IOException {
		FakeServer.Script echo = (request, connection, out) -> out
			.write(FakeServer.answer(request, "200 OK", "done").getBytes(StandardCharsets.ISO_8859_1));
		try (RelayFixture fixture = RelayFixture.unconfigured(echo); Socket caller = fixture.connect()) {
			RelayFixture.write(caller, RelayFixture.request("/once/", "", ""));
			LockSupport.parkNanos(Duration.ofMillis(CONFIGURED_MS).toNanos());
			fixture.configure(1_000_000);
			String answer = RelayFixture.readUntil(caller, "done");
			assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
		}
	}

	@Test
	public void aRequestIsRefusedWhenNoConfigurationComes() throws IOException {
		try (RelayFixture fixture = RelayFixture.unconfigured()) {
			String answer = fixture.call("/once/", "");
			assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("\"not_configured\""), answer);
			assertTrue(answer.contains("\"outcome\":\"not-run\""), answer);
		}
	}

}
