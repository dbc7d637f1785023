package io.verbenacleat.router.relay;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.SequenceInputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Semaphore;

import org.jspecify.annotations.Nullable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests requests that arrive while the response to their predecessor is still under way,
 * over sockets. Each response belongs to its own request, in order, and nothing follows
 * one that was aborted.
 */
public class CallerPipelineTests {

	private static final String KNOWN_RED = "known-red";

	/** More than are queued before the connection is no longer read. */
	private static final int MANY = 9;

	/** More than the limit of the fixture for bodies. */
	private static final int TOO_LARGE_BYTES = 70_000;

	private static final int TOO_LARGE = 413;

	private static final long PREPAID_TOKENS = 1_000_000;

	/** Longer than any pause of the test itself, so that no request is given up. */
	private static final int HEADER_TIMEOUT_MS = 60_000;

	private static final String BEGIN = "begin-";

	private static final String END = "-end";

	@DataProvider
	public Object[][] predecessors() {
		return new Object[][] { { Predecessor.SERVED_WITH_LENGTH }, { Predecessor.SERVED_IN_CHUNKS },
				{ Predecessor.SERVED_UNTIL_CLOSE }, { Predecessor.REFUSED }, { Predecessor.LOST } };
	}

	@DataProvider
	public Object[][] predecessorsWhoseServerConnectionIsKept() {
		return new Object[][] { { Predecessor.SERVED_WITH_LENGTH }, { Predecessor.SERVED_IN_CHUNKS },
				{ Predecessor.REFUSED } };
	}

	@DataProvider
	public Object[][] predecessorsWhoseServerConnectionEnds() {
		return new Object[][] { { Predecessor.SERVED_UNTIL_CLOSE }, { Predecessor.LOST } };
	}

	// Guards against a request that takes over the response under way, or is lost, when
	// it arrives cut at any byte.
	@Test(dataProvider = "predecessorsWhoseServerConnectionIsKept")
	public void aRequestThatArrivesInPartsGetsItsOwnResponse(Predecessor predecessor) throws IOException {
		assertServedAfterEachCut(predecessor);
	}

	// Guards against the same when the request needs another connection to the server.
	@Test(groups = KNOWN_RED, dataProvider = "predecessorsWhoseServerConnectionEnds")
	public void aRequestThatArrivesInPartsIsServedOnAnotherConnection(Predecessor predecessor) throws IOException {
		assertServedAfterEachCut(predecessor);
	}

	// Guards against responses out of order, or lost requests, when more arrive than are
	// queued.
	@Test(dataProvider = "predecessors")
	public void requestsInARowGetTheirOwnResponses(Predecessor predecessor) throws IOException {
		Server server = new Server();
		try (RelayFixture fixture = open(server); Socket caller = fixture.connect(); Socket other = fixture.connect()) {
			String begun = begin(caller, predecessor, "1");
			for (int i = 2; i < MANY; i++) {
				String path = (i % 3 == 0) ? "/none/" : "/once/";
				RelayFixture.write(caller, request((i % 4 == 0) ? "HEAD" : "GET", path, Integer.toString(i), ""));
			}
			RelayFixture.write(caller, request("GET", "/none/", Integer.toString(MANY), "Connection: close\r\n"));
			awaitRead(other);
			server.gate.release();
			assertResponse(readBegun(caller, begun), predecessor, "1");
			for (int i = 2; i < MANY; i++) {
				ReceivedResponse response = (i % 4 == 0) ? ReceivedResponse.readWithoutBody(caller.getInputStream())
						: read(caller);
				if (i % 3 == 0) {
					assertRefused(response, Refusal.NO_ROUTE, Integer.toString(i));
				}
				else {
					assertEquals(FakeServer.header(response.head(), "test-id"), Integer.toString(i));
				}
			}
			assertRefused(read(caller), Refusal.NO_ROUTE, Integer.toString(MANY));
			assertEquals(RelayFixture.readAll(caller), "");
		}
	}

	// Guards against bytes after a response that was aborted, and against a request that
	// runs though nobody can get its response.
	@Test
	public void nothingFollowsAnAbortedResponse() throws IOException {
		String second = request("GET", "/once/", "2", "");
		List<String> following = List.of("", second.substring(0, second.length() - 2), second,
				second + request("GET", "/none/", "3", "") + second, request("GET", "/none/", "2", "").repeat(MANY));
		for (Predecessor predecessor : List.of(Predecessor.ABORTED_WITH_LENGTH, Predecessor.ABORTED_IN_CHUNKS)) {
			for (String text : following) {
				Server server = new Server();
				try (RelayFixture fixture = open(server);
						Socket caller = fixture.connect();
						Socket other = fixture.connect()) {
					String begun = begin(caller, predecessor, "1");
					RelayFixture.write(caller, text);
					awaitRead(other);
					server.gate.release();
					assertEquals(readToEnd(caller).strip(), "", begun);
					assertEquals(fixture.servers.get(0).requests.size(), 1);
				}
			}
		}
	}

	// Guards against a request that runs after the last response of a connection.
	@Test(dataProvider = "predecessors")
	public void nothingFollowsTheLastResponse(Predecessor predecessor) throws IOException {
		Server server = new Server();
		try (RelayFixture fixture = open(server); Socket caller = fixture.connect(); Socket other = fixture.connect()) {
			String begun = begin(caller, predecessor, "1", "Connection: close\r\n");
			RelayFixture.write(caller, request("GET", "/once/", "2", "") + request("GET", "/none/", "3", ""));
			awaitRead(other);
			server.gate.release();
			ReceivedResponse response = readBegun(caller, begun);
			assertResponse(response, predecessor, "1");
			assertEquals(FakeServer.header(response.head(), "connection"), "close");
			assertEquals(RelayFixture.readAll(caller), "");
			assertTrue(fixture.servers.get(0).requests.stream()
				.noneMatch((request) -> FakeServer.header(request, "test-id").equals("2")));
		}
	}

	// Guards against a stop that cuts the response under way, or answers a later request
	// on a connection that was announced to close.
	@Test
	public void aStopEndsTheConnectionAfterTheResponseThatSaysSo() throws IOException {
		Server server = new Server();
		try (RelayFixture fixture = open(server); Socket caller = fixture.connect(); Socket other = fixture.connect()) {
			String begun = begin(caller, Predecessor.SERVED_IN_CHUNKS, "1");
			RelayFixture.write(caller, request("GET", "/once/", "2", "") + request("GET", "/once/", "3", ""));
			awaitRead(other);
			fixture.relay.stop();
			server.gate.release();
			ReceivedResponse first = readBegun(caller, begun);
			assertServed(first, "1");
			assertEquals(FakeServer.header(first.head(), "connection"), "");
			ReceivedResponse second = read(caller);
			assertServed(second, "2");
			assertEquals(FakeServer.header(second.head(), "connection"), "close");
			assertEquals(RelayFixture.readAll(caller), "");
		}
	}

	// Guards against an unreadable request whose refusal overtakes the response under
	// way.
	@Test(dataProvider = "predecessors")
	public void anUnreadableRequestIsRefusedInItsTurn(Predecessor predecessor) throws IOException {
		Server server = new Server();
		try (RelayFixture fixture = open(server); Socket caller = fixture.connect(); Socket other = fixture.connect()) {
			String begun = begin(caller, predecessor, "1");
			RelayFixture.write(caller, request("GET", "/once/", "2", "")
					+ request("GET", "/once/", "3", "Content-Length: x\r\n") + request("GET", "/once/", "4", ""));
			awaitRead(other);
			server.gate.release();
			assertResponse(readBegun(caller, begun), predecessor, "1");
			assertServed(read(caller), "2");
			assertEquals(read(caller).status(), Refusal.BAD_REQUEST.status().code());
			assertEquals(RelayFixture.readAll(caller), "");
		}
	}

	// Guards against the rest of a body that is read as a request after its refusal.
	@Test
	public void aBodyThatIsTooLargeIsRefusedBeforeItsEndAndSkipped() throws IOException {
		try (RelayFixture fixture = open(new Server()); Socket caller = fixture.connect()) {
			String decoy = request("GET", "/none/", "decoy", "");
			RelayFixture.write(caller,
					request("POST", "/once/", "1", "Content-Length: " + TOO_LARGE_BYTES + "\r\n") + decoy);
			assertEquals(read(caller).status(), TOO_LARGE);
			RelayFixture.write(caller,
					"x".repeat(TOO_LARGE_BYTES - decoy.length()) + request("GET", "/once/", "2", ""));
			assertServed(read(caller), "2");
		}
	}

	// Guards against a response whose form is chosen by the method of another request,
	// since 100 Continue is a response of its own.
	@Test
	public void anInterimResponseDoesNotShiftTheMethods() throws IOException {
		try (RelayFixture fixture = open(new Server()); Socket caller = fixture.connect()) {
			RelayFixture.write(caller, request("POST", "/once/", "1", "Expect: 100-continue\r\nContent-Length: 4\r\n"));
			assertEquals(ReceivedResponse.readWithoutBody(caller.getInputStream()).status(), 100);
			RelayFixture.write(caller, "body" + request("HEAD", "/none/", "2", "") + request("GET", "/once/", "3", "")
					+ request("HEAD", "/once/", "4", "") + request("GET", "/none/", "5", ""));
			assertServed(read(caller), "1");
			assertEquals(ReceivedResponse.readWithoutBody(caller.getInputStream()).status(), 404);
			assertServed(read(caller), "3");
			assertEquals(ReceivedResponse.readWithoutBody(caller.getInputStream()).status(), 200);
			assertRefused(read(caller), Refusal.NO_ROUTE, "5");
		}
	}

	// Guards against the refusal of a body that is too large, which the caller takes for
	// the response to the request before.
	@Test
	public void theRefusalOfABodyDoesNotOvertakeTheResponseBefore() throws IOException {
		Server server = new Server();
		try (RelayFixture fixture = open(server); Socket caller = fixture.connect()) {
			RelayFixture.write(caller, request("GET", "/once/" + Predecessor.REFUSED, "1", "")
					+ request("POST", "/once/", "2", "Content-Length: " + TOO_LARGE_BYTES + "\r\n"));
			assertTrue(RelayFixture.await(() -> !fixture.servers.get(0).requests.isEmpty()));
			server.gate.release();
			assertRefused(read(caller), Refusal.NO_SERVER, "1");
			assertEquals(read(caller).status(), TOO_LARGE);
		}
	}

	@DataProvider
	public Object[][] requestsAnsweredEarly() {
		return new Object[][] { { "Content-Length: " + TOO_LARGE_BYTES + "\r\n" },
				{ "Expect: 100-continue\r\nContent-Length: 4\r\n" } };
	}

	// Guards against a refusal of a body, or a 100 Continue, that cuts the response under
	// way.
	@Test(dataProvider = "requestsAnsweredEarly")
	public void anEarlyAnswerDoesNotCutTheResponseBefore(String headers) throws IOException {
		Server server = new Server();
		try (RelayFixture fixture = open(server); Socket caller = fixture.connect(); Socket other = fixture.connect()) {
			String begun = begin(caller, Predecessor.SERVED_WITH_LENGTH, "1");
			RelayFixture.write(caller, request("POST", "/once/", "2", headers));
			awaitRead(other);
			server.gate.release();
			assertServed(readBegun(caller, begun), "1");
		}
	}

	// Guards against a 100 Continue that never comes, or precedes the response before.
	@Test(dataProvider = "predecessors")
	public void aContinueFollowsTheResponseBefore(Predecessor predecessor) throws IOException {
		Server server = new Server();
		try (RelayFixture fixture = open(server); Socket caller = fixture.connect(); Socket other = fixture.connect()) {
			String begun = begin(caller, predecessor, "1");
			RelayFixture.write(caller, request("GET", "/none/", "2", "")
					+ request("POST", "/once/", "3", "Expect: 100-continue\r\nContent-Length: 4\r\n"));
			awaitRead(other);
			server.gate.release();
			assertResponse(readBegun(caller, begun), predecessor, "1");
			assertRefused(read(caller), Refusal.NO_ROUTE, "2");
			assertEquals(ReceivedResponse.readWithoutBody(caller.getInputStream()).status(), 100);
			RelayFixture.write(caller, "body");
			assertServed(read(caller), "3");
			String received = fixture.servers.get(0).requests.get(fixture.servers.get(0).requests.size() - 1);
			assertEquals(FakeServer.header(received, "expect"), "");
		}
	}

	@DataProvider
	public Object[][] requestsRefusedWithTheirConnection() {
		String chunk = FakeServer.chunk("x".repeat(TOO_LARGE_BYTES));
		return new Object[][] {
				{ Refusal.BODY_TOO_LARGE, request("POST", "/once/", "2", "Transfer-Encoding: chunked\r\n") + chunk },
				{ Refusal.BODY_TOO_LARGE,
						request("POST", "/once/", "2",
								"Connection: close\r\nContent-Length: " + TOO_LARGE_BYTES + "\r\n") },
				{ Refusal.EXPECTATION_FAILED,
						request("POST", "/once/", "2", "Expect: tea\r\nContent-Length: 4\r\n") + "body" } };
	}

	// Guards against a refusal that overtakes the response before, and against a request
	// that is taken from the body of a refused one.
	@Test(dataProvider = "requestsRefusedWithTheirConnection")
	public void aRefusalOfABodyInItsTurnEndsTheConnection(Refusal refusal, String request) throws IOException {
		Server server = new Server();
		try (RelayFixture fixture = open(server); Socket caller = fixture.connect(); Socket other = fixture.connect()) {
			String begun = begin(caller, Predecessor.SERVED_IN_CHUNKS, "1");
			RelayFixture.write(caller, request);
			awaitRead(other);
			server.gate.release();
			assertServed(readBegun(caller, begun), "1");
			ReceivedResponse refused = read(caller);
			assertRefused(refused, refusal, "2");
			assertEquals(FakeServer.header(refused.head(), "connection"), "close");
			assertEquals(readToEnd(caller), "");
			assertEquals(fixture.servers.get(0).requests.size(), 1);
		}
	}

	private static void assertServedAfterEachCut(Predecessor predecessor) throws IOException {
		Server server = new Server();
		String second = request("POST", "/once/", "2", "Content-Length: 4\r\n") + "body";
		try (RelayFixture fixture = open(server)) {
			try (Socket caller = fixture.connect(); Socket other = fixture.connect()) {
				caller.setTcpNoDelay(true);
				for (int cut = 1; cut <= second.length(); cut++) {
					String id = "1-" + cut;
					String begun = begin(caller, predecessor, id);
					RelayFixture.write(caller, second.substring(0, cut));
					awaitRead(other);
					server.gate.release();
					assertResponse(readBegun(caller, begun), predecessor, id);
					RelayFixture.write(caller, second.substring(cut));
					assertServed(read(caller), "2");
				}
			}
		}
	}

	private static RelayFixture open(Server server) throws IOException {
		RelayFixture fixture = new RelayFixture(server);
		fixture.configure(PREPAID_TOKENS, HEADER_TIMEOUT_MS);
		return fixture;
	}

	// The router has one event loop: what was written before the first of two calls on
	// another connection has been read when the second one has its response.
	private static void awaitRead(Socket other) throws IOException {
		for (int i = 0; i < 2; i++) {
			RelayFixture.write(other, request("GET", "/none/", "other", ""));
			assertRefused(read(other), Refusal.NO_ROUTE, "other");
		}
	}

	private static String begin(Socket caller, Predecessor predecessor, String id) throws IOException {
		return begin(caller, predecessor, id, "");
	}

	private static String begin(Socket caller, Predecessor predecessor, String id, String headers) throws IOException {
		RelayFixture.write(caller, request("GET", "/once/" + predecessor, id, headers));
		return predecessor.begins() ? RelayFixture.readUntil(caller, BEGIN) : "";
	}

	private static ReceivedResponse readBegun(Socket caller, String begun) throws IOException {
		InputStream start = new ByteArrayInputStream(bytes(begun));
		return checked(ReceivedResponse.read(new SequenceInputStream(start, caller.getInputStream())));
	}

	private static ReceivedResponse read(Socket caller) throws IOException {
		return checked(ReceivedResponse.read(caller.getInputStream()));
	}

	private static ReceivedResponse checked(ReceivedResponse response) {
		assertTrue(response.complete() && response.head().startsWith("HTTP/1.1 "), response.toString());
		return response;
	}

	private static String readToEnd(Socket caller) throws IOException {
		StringBuilder text = new StringBuilder();
		try {
			int next = caller.getInputStream().read();
			while (next >= 0) {
				text.append((char) next);
				next = caller.getInputStream().read();
			}
		}
		catch (SocketException ex) {
			assertEquals(ex.getMessage(), "Connection reset");
		}
		return text.toString();
	}

	private static void assertResponse(ReceivedResponse response, Predecessor predecessor, String id) {
		if (predecessor.refusal != null) {
			assertRefused(response, predecessor.refusal, id);
		}
		else {
			assertServed(response, id);
		}
	}

	private static void assertServed(ReceivedResponse response, String id) {
		assertEquals(response.status(), 200, response.toString());
		assertEquals(FakeServer.header(response.head(), "test-id"), id);
		assertEquals(response.body(), BEGIN + id + END);
	}

	private static void assertRefused(ReceivedResponse response, Refusal refusal, String id) {
		assertEquals(response.status(), refusal.status().code(), response.toString());
		assertTrue(response.body().contains("\"" + Relay.code(refusal) + "\""), response.body());
		assertTrue(response.body().contains("\"requestId\":\"" + id + "\""), response.body());
	}

	private static String request(String method, String path, String id, String headers) {
		return method + " " + path + " HTTP/1.1\r\nHost: h\r\nTest-Id: " + id + "\r\nTest-Key: " + RelayFixture.KEY
				+ "\r\n" + headers + "\r\n";
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	/**
	 * How the response to the first request goes on once the gate of the server is open.
	 * Those without a refusal have begun before.
	 */
	private enum Predecessor {

		SERVED_WITH_LENGTH(null), SERVED_IN_CHUNKS(null), SERVED_UNTIL_CLOSE(null), ABORTED_WITH_LENGTH(null),
		ABORTED_IN_CHUNKS(null), REFUSED(Refusal.NO_SERVER), LOST(Refusal.ANSWER_LOST);

		private final @Nullable Refusal refusal;

		Predecessor(@Nullable Refusal refusal) {
			this.refusal = refusal;
		}

		private boolean begins() {
			return this.refusal == null;
		}

	}

	/**
	 * Serves at once, unless the path names a predecessor, whose response waits at the
	 * gate.
	 */
	private static final class Server implements FakeServer.Script {

		private final Semaphore gate = new Semaphore(0);

		@Override
		public void answer(String request, Socket connection, OutputStream out) throws IOException {
			String id = FakeServer.header(request, "test-id");
			String served = FakeServer.answer(request, "200 OK", BEGIN + id + END);
			String name = request.split(" ", 3)[1].substring("/once/".length());
			if (name.isEmpty()) {
				int end = served.length() - (request.startsWith("HEAD") ? (BEGIN + id + END).length() : 0);
				out.write(bytes(served.substring(0, end)));
				return;
			}
			Predecessor predecessor = Predecessor.valueOf(name);
			boolean inChunks = predecessor == Predecessor.SERVED_IN_CHUNKS
					|| predecessor == Predecessor.ABORTED_IN_CHUNKS;
			String start = served.substring(0, served.indexOf(id + END, served.indexOf(BEGIN)));
			String end = id + END;
			if (inChunks) {
				start = start.replaceFirst("Content-Length: \\d+", "Transfer-Encoding: chunked")
					.replace(BEGIN, FakeServer.chunk(BEGIN));
				end = FakeServer.chunk(end) + FakeServer.chunk("");
			}
			if (predecessor == Predecessor.SERVED_UNTIL_CLOSE) {
				start = start.replaceFirst("Content-Length: \\d+", "Connection: close");
			}
			if (predecessor.begins()) {
				out.write(bytes(start));
				out.flush();
			}
			this.gate.acquireUninterruptibly();
			switch (predecessor) {
				case SERVED_WITH_LENGTH, SERVED_IN_CHUNKS -> out.write(bytes(end));
				case SERVED_UNTIL_CLOSE -> {
					out.write(bytes(end));
					connection.close();
				}
				case REFUSED -> out.write(bytes(
						FakeServer.answer(request, "503 Busy", "").replace("Test-Id", "Test-Not-Run: 1\r\nTest-Id")));
				case ABORTED_WITH_LENGTH, ABORTED_IN_CHUNKS, LOST -> connection.close();
			}
		}

	}

}
