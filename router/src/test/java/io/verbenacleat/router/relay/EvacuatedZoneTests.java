package io.verbenacleat.router.relay;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.channel.EventLoop;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerList;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * A relay with servers in zone a, which is evacuated, and in zone b.
 */
public class EvacuatedZoneTests {

	private static final String KNOWN_RED = "known-red";

	private static final FakeServer.Script ECHO = (request, connection, out) -> out
		.write(FakeServer.answer(request, "200 OK", "1").getBytes(StandardCharsets.ISO_8859_1));

	// Guards against an evacuation that cuts requests, and against requests that follow
	// on the open connection.
	@Test
	public void requestsInFlightEndNormallyAndOthersGoElsewhere() throws IOException {
		CountDownLatch evacuated = new CountDownLatch(1);
		FakeServer.Script slow = (request, connection, out) -> {
			await(evacuated);
			ECHO.answer(request, connection, out);
		};
		try (RelayFixture fixture = new RelayFixture(slow, ECHO); Socket caller = fixture.connect()) {
			publish(fixture, Set.of("b"), "a", "b");
			RelayFixture.write(caller, RelayFixture.request("/once/", "Connection: close\r\n", ""));
			assertTrue(RelayFixture.await(() -> fixture.servers.get(0).requests.size() == 1));
			publish(fixture, Set.of("a"), "a", "b");
			evacuated.countDown();
			assertTrue(RelayFixture.readAll(caller).startsWith("HTTP/1.1 200"));
			for (int i = 0; i < 10; i++) {
				assertTrue(fixture.call("/once/", "").startsWith("HTTP/1.1 200"));
			}
			assertEquals(fixture.servers.get(0).requests.size(), 1);
		}
	}

	@DataProvider
	public Object[][] repeatablePaths() {
		return new Object[][] { { "/again/" }, { "/resume/" } };
	}

	// Guards against a retry, and a stream that continues, on another server of the zone.
	@Test(dataProvider = "repeatablePaths")
	public void aRetryGoesToAnotherZone(String path) throws IOException {
		CountDownLatch evacuated = new CountDownLatch(1);
		FakeServer.Script broken = (request, connection, out) -> {
			if (path.equals("/resume/")) {
				out.write((FakeServer.streamHead(request) + FakeServer.chunk("id: 1\ndata: a\n\n"))
					.getBytes(StandardCharsets.ISO_8859_1));
				out.flush();
			}
			await(evacuated);
			connection.close();
		};
		FakeServer.Script stream = (request, connection, out) -> out
			.write((FakeServer.streamHead(request) + FakeServer.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
		try (RelayFixture fixture = new RelayFixture(broken, stream, stream); Socket caller = fixture.connect()) {
			publish(fixture, Set.of("b", "c"), "a", "b", "c");
			RelayFixture.write(caller, RelayFixture.request(path, "Connection: close\r\n", ""));
			assertTrue(RelayFixture.await(() -> fixture.servers.get(0).requests.size() == 1));
			publish(fixture, Set.of("a"), "a", "a", "b");
			evacuated.countDown();
			assertTrue(RelayFixture.readAll(caller).contains("data: b"));
			assertEquals(fixture.servers.get(1).requests.size(), 0);
			assertEquals(fixture.servers.get(2).requests.size(), 1);
		}
	}

	// Guards against a request that is sent because its server was selected just before
	// the evacuation. The list changes while the connection is being opened.
	@Test(groups = KNOWN_RED)
	public void aRequestIsNotSentWhenItsConnectionOpensAfterTheEvacuation() throws IOException {
		try (RelayFixture fixture = new RelayFixture(ECHO, ECHO); Socket caller = fixture.connect()) {
			publish(fixture, Set.of("a"), "a", "b");
			assertTrue(fixture.call("/once/", "").startsWith("HTTP/1.1 200"));
			publish(fixture, Set.of("b"), "a", "b");
			EventLoop loop = (EventLoop) fixture.relay.executor();
			try (Closeable blocked = fixture.blockEventLoop()) {
				RelayFixture.write(caller, RelayFixture.request("/once/", "Connection: close\r\n", ""));
				// Scheduled tasks run after the request is read and before the connection
				// is established.
				loop.execute(
						() -> loop.schedule(() -> publish(fixture, Set.of("a"), "a", "b"), 0, TimeUnit.MILLISECONDS));
			}
			assertTrue(RelayFixture.readAll(caller).startsWith("HTTP/1.1 200"));
			assertEquals(fixture.servers.get(0).requests.size(), 0);
			assertEquals(fixture.servers.get(1).requests.size(), 2);
		}
	}

	// Guards against requests that wait for their deadline, and callers that all come
	// back at once, while no zone is left.
	@Test
	public void requestsAreRefusedAtOnceWhenAllZonesAreEvacuated() throws IOException {
		try (RelayFixture fixture = new RelayFixture(ECHO, ECHO)) {
			publish(fixture, Set.of("a", "b"), "a", "b");
			for (String path : List.of("/once/", "/again/", "/stream/", "/resume/")) {
				String answer = fixture.call(path, "Test-Deadline: 3000\r\n");
				assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("\"zones_evacuated\""), answer);
				assertTrue(answer.contains("\"outcome\":\"not-run\""), answer);
				double retryAfterS = Double.parseDouble(FakeServer.header(answer, "retry-after"));
				assertTrue(retryAfterS <= 1, "Retry-After " + retryAfterS);
			}
			assertEquals(totalRequests(fixture), 0);
			publish(fixture, Set.of("a"), "a", "b");
			assertTrue(fixture.call("/once/", "").startsWith("HTTP/1.1 200"));
		}
	}

	// Guards against load polls and liveness checks that still reach the zone.
	@Test
	public void serversInTheZoneGetNoPollsAndNoChecks() throws IOException {
		CountDownLatch evacuated = new CountDownLatch(1);
		FakeServer.Script unframed = (request, connection, out) -> {
			await(evacuated);
			out.write(("HTTP/1.1 200 OK\r\nTest-Id: " + FakeServer.header(request, "test-id") + "\r\n\r\nwhole")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			connection.close();
		};
		try (RelayFixture fixture = new RelayFixture(unframed, ECHO); Socket caller = fixture.connect()) {
			fixture.configureModelService();
			publish(fixture, Set.of("b"), "a", "b");
			fixture.servers.forEach((server) -> fixture.relay.states().state(server.registration()));
			RelayFixture.write(caller, RelayFixture.request("/again/", "Connection: close\r\n", ""));
			assertTrue(RelayFixture.await(() -> fixture.servers.get(0).requests.size() == 1));
			publish(fixture, Set.of("a"), "a", "b");
			evacuated.countDown();
			String answer = RelayFixture.readAll(caller);
			assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("whole"), answer);
			try (LoadPoller poller = fixture.startPolling(new LoadPollerTests.SingleNumberFormat())) {
				assertTrue(RelayFixture.await(() -> fixture.servers.get(1).requests.size() >= 2));
			}
			assertEquals(fixture.servers.get(0).requests.size(), 1);
		}
	}

	private static void publish(RelayFixture fixture, Set<String> evacuatedZones, String... zones) {
		List<BackendServer> servers = IntStream.range(0, zones.length).mapToObj((i) -> {
			BackendServer server = fixture.servers.get(i).registration();
			return new BackendServer(server.id(), server.startedAtMs(), server.service(), server.host(), server.port(),
					zones[i], server.slots(), server.version(), server.draining());
		}).toList();
		fixture.relay.updateServers(ServerList.of(servers).withEvacuated(evacuatedZones));
	}

	private static int totalRequests(RelayFixture fixture) {
		return fixture.servers.stream().mapToInt((server) -> server.requests.size()).sum();
	}

	private static void await(CountDownLatch evacuated) {
		try {
			evacuated.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
