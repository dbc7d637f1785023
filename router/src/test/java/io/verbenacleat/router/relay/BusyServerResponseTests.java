package io.verbenacleat.router.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.ConnectTimeoutException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests responses with neither a length nor chunks of a backend server that opens no new
 * connections when they end, over sockets. Other requests are in progress on its other
 * connections.
 */
public class BusyServerResponseTests {

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final String EVENT = "id: 1\ndata: a\n\n";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nTest-Id: 77\r\n\r\n";

	private static final String OTHER_PATH = "/again/other";

	/** Longer than the connections of an ended process stay open. */
	private static final Duration WORK = Duration.ofMillis(150);

	private static final Duration LONG_QUEUE = Duration.ofMillis(400);

	@DataProvider
	public Object[][] kindsOfRequests() {
		return new Object[][] { { "/once/", false }, { "/again/", false }, { "/stream/", false }, { "/resume/", false },
				{ "/stream/", true }, { "/resume/", true } };
	}

	// Guards against a whole response that is cut because its busy server resets the
	// connection that would show that it runs.
	@Test(dataProvider = "kindsOfRequests")
	public void aResponseIsCompleteIfItsServerOnlyResetsNewConnections(String path, boolean modelService)
			throws IOException {
		assertTrue(callBesideAnother(path, HEAD, modelService, FakeServer::startEnding).endsWith(LAST_CHUNK));
	}

	// Guards against a whole error response that is cut because its server is busy.
	@Test
	public void anErrorOfABusyServerIsComplete() throws IOException {
		String head = HEAD.replace("200 OK", "500 Failed");
		assertTrue(callBesideAnother("/once/", head, false, FakeServer::startEnding).endsWith(LAST_CHUNK));
	}

	// Guards against a whole response that is cut because its server leaves and has
	// stopped listening before it serves its last requests.
	@Test(dataProvider = "kindsOfRequests")
	public void aResponseIsCompleteIfItsServerOnlyStopsListening(String path, boolean modelService) throws IOException {
		String head = HEAD.replace("Test-Id", "Test-Leaving: 1\r\nTest-Id");
		assertTrue(callBesideAnother(path, head, modelService, FakeServer::stopListening).endsWith(LAST_CHUNK));
	}

	// Guards against a cut response that looks complete because other connections of the
	// ended process were open.
	@Test(dataProvider = "kindsOfRequests")
	public void aResponseIsNotCompleteIfItsServerCrashesWithOtherConnections(String path, boolean modelService)
			throws IOException {
		assertFalse(callBesideAnother(path, HEAD, modelService, FakeServer::crash).endsWith(LAST_CHUNK));
	}

	// Guards against a cut response that looks complete because the connections of the
	// ended process are reset like those to a busy server.
	@Test(dataProvider = "kindsOfRequests")
	public void aResponseIsNotCompleteIfAllConnectionsAreReset(String path, boolean modelService) throws IOException {
		assertFalse(callBesideAnother(path, HEAD, modelService, (server) -> {
			server.startEnding();
			server.closeConnections();
		}).endsWith(LAST_CHUNK));
	}

	// Guards against a cut response that looks complete because its host is lost and its
	// other connections stay open without a byte.
	@Test(dataProvider = "kindsOfRequests")
	public void aResponseIsNotCompleteIfOtherConnectionsAreSilent(String path, boolean modelService)
			throws IOException {
		CountDownLatch never = new CountDownLatch(1);
		assertFalse(callBesideAnother(path, HEAD, modelService, FakeServer::startEnding, () -> await(never))
			.endsWith(LAST_CHUNK));
	}

	// Guards against a busy server that has to reset a new connection for each response
	// without a length.
	@Test
	public void noConnectionIsOpenedWhileAnotherShowsThatTheServerRuns() throws IOException {
		List<FakeServer> running = new CopyOnWriteArrayList<>();
		CountDownLatch ended = new CountDownLatch(1);
		FakeServer.Script script = (request, connection, out) -> {
			if (request.contains(OTHER_PATH)) {
				await(ended);
				write(out, FakeServer.streamHead(request));
				for (int i = 0; i < 20; i++) {
					LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
					write(out, FakeServer.chunk("a"));
				}
				write(out, LAST_CHUNK);
				return;
			}
			write(out, HEAD + EVENT);
			connection.close();
			ended.countDown();
		};
		try (RelayFixture fixture = new RelayFixture(script)) {
			running.addAll(fixture.servers);
			try (Socket other = sendOther(fixture)) {
				assertTrue(fixture.call("/once/", "").endsWith(LAST_CHUNK));
				assertEquals(fixture.servers.get(0).acceptedCount(), 2);
			}
		}
	}

	// Guards against a whole response that is cut because its server was busy for a
	// moment and has no other connection of this router.
	@Test
	public void aResponseIsCompleteIfItsServerIsBusyForAMoment() throws IOException {
		List<FakeServer> running = new CopyOnWriteArrayList<>();
		FakeServer.Script script = (request, connection, out) -> {
			write(out, HEAD + EVENT);
			running.get(0).startEnding();
			connection.close();
			LockSupport.parkNanos(LONG_QUEUE.toNanos());
			running.get(0).stopEnding();
		};
		try (RelayFixture fixture = new RelayFixture(script)) {
			running.addAll(fixture.servers);
			assertTrue(fixture.call("/once/", "").endsWith(LAST_CHUNK));
		}
	}

	// Guards against a cut response that looks complete because another process accepts
	// connections by the time of the second one.
	@Test
	public void aResponseIsNotCompleteIfItsServerIsReplacedDuringTheCheck() throws IOException {
		List<FakeServer> running = new CopyOnWriteArrayList<>();
		FakeServer.Script script = (request, connection, out) -> {
			if (request.contains(OTHER_PATH)) {
				return;
			}
			write(out, HEAD + EVENT);
			running.get(0).startEnding();
			connection.close();
			LockSupport.parkNanos(WORK.toNanos());
			running.get(0).restart();
			running.get(0).stopEnding();
		};
		try (RelayFixture fixture = new RelayFixture(script)) {
			running.addAll(fixture.servers);
			try (Socket other = sendOther(fixture)) {
				String answer = fixture.call("/once/", "");
				assertTrue(answer.contains("data: a"), answer);
				assertFalse(answer.endsWith(LAST_CHUNK), answer);
			}
		}
	}

	@DataProvider
	public Object[][] failuresOfConnections() {
		return new Object[][] {
				{ new SocketException("Connection reset by peer"), ServerConnections.ProbeResult.RESET },
				{ new SocketException("Network is unreachable"), ServerConnections.ProbeResult.UNREACHABLE },
				{ new ConnectException("Connection refused"), ServerConnections.ProbeResult.REFUSED },
				{ new ConnectTimeoutException("timed out"), ServerConnections.ProbeResult.UNREACHABLE },
				{ new NoRouteToHostException("No route to host"), ServerConnections.ProbeResult.UNREACHABLE } };
	}

	// Guards against a server that is taken for unreachable because its reset arrives
	// before the connection is known to be open.
	@Test(dataProvider = "failuresOfConnections")
	public void aResetIsToldFromARefusal(Exception failure, ServerConnections.ProbeResult expected) {
		assertEquals(ServerConnections.ProbeResult.of(failure), expected);
	}

	private static String callBesideAnother(String path, String head, boolean modelService, End end)
			throws IOException {
		return callBesideAnother(path, head, modelService, end, () -> LockSupport.parkNanos(WORK.toNanos()));
	}

	/**
	 * Sends a request whose response ends with its connection, while the server works on
	 * another request.
	 * @param path the path of the request
	 * @param head the head of its response
	 * @param modelService whether the server has load reports
	 * @param end called before the connection is closed
	 * @param work what the server does after that before it responds to the other request
	 * @return the response
	 * @throws IOException if a connection fails
	 */
	private static String callBesideAnother(String path, String head, boolean modelService, End end, Runnable work)
			throws IOException {
		List<FakeServer> running = new CopyOnWriteArrayList<>();
		CountDownLatch ended = new CountDownLatch(1);
		FakeServer.Script script = (request, connection, out) -> {
			if (request.contains(OTHER_PATH)) {
				await(ended);
				work.run();
				write(out, FakeServer.answer(request, "200 OK", "done"));
				return;
			}
			write(out, head + EVENT);
			end.end(running.get(0));
			connection.close();
			ended.countDown();
		};
		try (RelayFixture fixture = new RelayFixture(script)) {
			if (modelService) {
				fixture.configureModelService();
			}
			running.addAll(fixture.servers);
			try (Socket other = sendOther(fixture)) {
				String answer = fixture.call(path, "");
				assertTrue(answer.contains("data: a"), answer);
				return answer;
			}
		}
	}

	private static Socket sendOther(RelayFixture fixture) throws IOException {
		Socket other = fixture.connect();
		RelayFixture.write(other, RelayFixture.request(OTHER_PATH, "", ""));
		assertTrue(RelayFixture.await(() -> !fixture.servers.get(0).requests.isEmpty()));
		return other;
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	/**
	 * Changes a server before the connection of the response is closed.
	 */
	private interface End {

		void end(FakeServer server) throws IOException;

	}

}
