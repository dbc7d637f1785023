package io.verbenacleat.router.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests with kept connections to a server that go silent together while the server
 * answers new ones.
 */
public class SilentServerConnectionTests {

	private static final int KEPT = 3;

	// Guards against requests that are sent on one silent connection after the other.
	@Test
	public void oneRequestOnlyIsSentOnSilentConnections() throws IOException {
		CountDownLatch all = new CountDownLatch(KEPT);
		List<Socket> silent = new ArrayList<>();
		try (RelayFixture fixture = new RelayFixture((request, connection, out) -> {
			await(all);
			if (!silent.contains(connection)) {
				out.write(FakeServer.answer(request, "200 OK", "x").getBytes(StandardCharsets.ISO_8859_1));
			}
		})) {
			openConnections(fixture, "/once/");
			silent.addAll(fixture.servers.get(0).connections);
			assertEquals(silent.size(), KEPT);
			assertTrue(fixture.call("/once/", "").startsWith("HTTP/1.1 504"));
			assertTrue(fixture.call("/once/", "").startsWith("HTTP/1.1 200"));
		}
	}

	// Guards against a model server that counts as failed while only its kept connections
	// are silent.
	@Test
	public void oneLoadPollOnlyIsSentOnSilentConnections() throws IOException {
		CountDownLatch all = new CountDownLatch(KEPT);
		List<Socket> silent = new ArrayList<>();
		List<Socket> polled = new ArrayList<>();
		try (RelayFixture fixture = new RelayFixture((request, connection, out) -> {
			await(all);
			if (request.startsWith("GET /load")) {
				polled.add(connection);
			}
			if (!silent.contains(connection)) {
				out.write(FakeServer.answer(request, "200 OK", "1").getBytes(StandardCharsets.ISO_8859_1));
			}
		})) {
			fixture.configureModelService();
			openConnections(fixture, "/again/");
			silent.addAll(fixture.servers.get(0).connections);
			assertEquals(silent.size(), KEPT);
			try (LoadPoller poller = fixture.startPolling(new LoadPollerTests.SingleNumberFormat())) {
				assertTrue(RelayFixture.await(() -> polled.size() >= 2));
			}
			assertTrue(silent.contains(polled.get(0)));
			assertTrue(!silent.contains(polled.get(1)), "the second poll was sent on a silent connection");
		}
	}

	private static void openConnections(RelayFixture fixture, String path) throws IOException {
		List<Socket> callers = new ArrayList<>();
		for (int i = 0; i < KEPT; i++) {
			Socket caller = fixture.connect();
			callers.add(caller);
			RelayFixture.write(caller, RelayFixture.request(path, "Connection: close\r\n", ""));
		}
		for (Socket caller : callers) {
			assertTrue(RelayFixture.readAll(caller).startsWith("HTTP/1.1 200"));
			caller.close();
		}
	}

	private static void await(CountDownLatch all) {
		all.countDown();
		try {
			all.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
