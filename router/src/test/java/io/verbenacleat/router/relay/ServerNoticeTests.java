package io.verbenacleat.router.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import io.verbenacleat.router.balance.ServerState;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Answers by which a server says that it leaves or wants a pause, over sockets.
 */
public class ServerNoticeTests {

	private static final FakeServer.Script ECHO = (request, connection, out) -> write(out,
			FakeServer.answer(request, "200 OK", "done"));

	private static final FakeServer.Script LEAVING = (request, connection, out) -> write(out,
			withHeader(FakeServer.answer(request, "200 OK", "done"), "Test-Leaving: 1"));

	private static final FakeServer.Script PAUSED = (request, connection, out) -> write(out,
			"HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n");

	@Test
	public void aServerThatSaysItLeavesGetsNothingMore() throws IOException {
		try (RelayFixture fixture = new RelayFixture(LEAVING, ECHO)) {
			for (int i = 0; i < 20; i++) {
				assertTrue(fixture.call("/once/", "").startsWith("HTTP/1.1 200"));
			}
			assertTrue(fixture.servers.get(0).requests.size() <= 1);
			fixture.listServers();
			for (int i = 0; i < 10; i++) {
				assertTrue(fixture.call("/once/", "").startsWith("HTTP/1.1 200"));
			}
			assertTrue(fixture.servers.get(0).requests.size() <= 1);
		}
	}

	@Test
	public void aPausedServerGetsNothingAndOthersServe() throws IOException {
		try (RelayFixture fixture = new RelayFixture(PAUSED, ECHO)) {
			for (int i = 0; i < 20; i++) {
				assertTrue(fixture.call("/again/", "").startsWith("HTTP/1.1 200"));
			}
			assertTrue(fixture.servers.get(0).requests.size() <= 1);
		}
	}

	@Test
	public void aServerThatPausedIsNotSuspendedAfterwards() throws IOException {
		FakeServer.Script shortPause = (request, connection, out) -> write(out,
				"HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nRetry-After: 0.02\r\nContent-Length: 0\r\n\r\n");
		try (RelayFixture fixture = new RelayFixture(shortPause)) {
			ServerState state = fixture.relay.states().state(fixture.servers.get(0).registration());
			for (int i = 0; i < 3; i++) {
				assertTrue(RelayFixture.await(() -> state.acceptsRequests(fixture.relay.nowMs())));
				fixture.call("/once/", "");
			}
			assertEquals(fixture.servers.get(0).requests.size(), 3);
			assertTrue(state.isAvailable(fixture.relay.nowMs()));
		}
	}

	@Test
	public void whenAllServersPauseTheCallerIsToldWhenToComeBack() throws IOException {
		try (RelayFixture fixture = new RelayFixture(PAUSED)) {
			fixture.call("/once/", "");
			String answer = fixture.call("/once/", "");
			assertEquals(fixture.servers.get(0).requests.size(), 1);
			assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
			assertTrue(answer.contains("\"outcome\":\"not-run\""), answer);
			double seconds = Double.parseDouble(FakeServer.header(answer, "retry-after"));
			assertTrue(seconds > 1 && seconds < 2, answer);
		}
	}

	@Test
	public void oneAnswerMayCarryBoth() throws IOException {
		FakeServer.Script both = (request, connection, out) -> {
			if (request.startsWith("POST /once/first")) {
				write(out,
						"HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nTest-Leaving: 1\r\nRetry-After: 0.001\r\nContent-Length: 0\r\n\r\n");
			}
			else {
				ECHO.answer(request, connection, out);
			}
		};
		try (RelayFixture fixture = new RelayFixture(both); Socket caller = fixture.connect()) {
			RelayFixture.write(caller, RelayFixture.request("/once/first", "", ""));
			RelayFixture.readUntil(caller, "}");
			assertTrue(fixture.call("/once/second", "").startsWith("HTTP/1.1 503"));
			assertEquals(fixture.servers.get(0).requests.size(), 1);
		}
	}

	@Test
	public void pausesAreReadFromNumbersOfSecondsOnly() {
		assertEquals(ServerNotice.pauseMs("1.5"), 1_500);
		assertEquals(ServerNotice.pauseMs(" 2 "), 2_000);
		assertEquals(ServerNotice.pauseMs("0.0004"), 1);
		assertEquals(ServerNotice.pauseMs("999999999999"), 300_000);
		for (String wrong : new String[] { "", "-1", "NaN", "1e9", "soon", "Wed, 21 Oct 2026 07:28:00 GMT",
				"9".repeat(400) }) {
			assertEquals(ServerNotice.pauseMs(wrong), 0, wrong);
		}
		assertEquals(ServerNotice.pauseMs(null), 0);
	}

	private static String withHeader(String answer, String header) {
		int lineEnd = answer.indexOf("\r\n");
		return answer.substring(0, lineEnd + 2) + header + "\r\n" + answer.substring(lineEnd + 2);
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

}
