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
 * The load after a loss of power: callers come while all routers start.
 */
public class StartWaitTests {

	/** The configuration is read this long after a router listens, the tokens later. */
	private static final long CONFIGURED_MS = 300;

	private static final long FUNDED_MS = 900;

	private static final int CALLERS = 200;

	// Callers come evenly in the first 1.5 s of a router, as in a recorded loss of power.
	@Test
	public void callersOfAStartingRouterAreServed() {
		int refused = 0;
		for (int i = 0; i < CALLERS; i++) {
			long arrivesMs = StartWait.STARTED_MS * i / CALLERS;
			long configuredMs = Math.max(arrivesMs, CONFIGURED_MS);
			long fundedMs = Math.max(configuredMs, FUNDED_MS);
			boolean served = StartWait.waitsForConfiguration(configuredMs, configuredMs - arrivesMs)
					&& StartWait.waitsForTokens(fundedMs, fundedMs - configuredMs);
			refused += served ? 0 : 1;
		}
		assertEquals(refused, 0);
	}

	@Test
	public void aRouterThatStaysWithoutConfigurationRefusesAtOnce() {
		assertFalse(StartWait.waitsForConfiguration(StartWait.STARTED_MS + 1, 0));
		assertFalse(StartWait.waitsForConfiguration(800, StartWait.MAX_CONFIG_WAIT_MS + 1));
		assertFalse(StartWait.waitsForTokens(60_000, StartWait.MAX_TOKEN_WAIT_MS + 1));
	}

	@Test
	public void aRequestBeforeTheConfigurationIsServedAfterIt() throws IOException {
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
