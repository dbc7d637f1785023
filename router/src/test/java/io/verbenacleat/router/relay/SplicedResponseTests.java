package io.verbenacleat.router.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests backend servers that stop within one response and send another one on the same
 * connection, at every byte of the first one.
 */
public class SplicedResponseTests {

	private static final String KNOWN_RED = "known-red";

	private static final String OLD_BODY = "old";

	private static final String OWN_BODY = "the content of the first attempt";

	private static final String FAILURE = "failed";

	/** Well below the timeout of the route, 2 s. */
	private static final String DEADLINE = "Test-Deadline: 400\r\n";

	/** The router reads bytes that arrive on an idle connection within this time. */
	private static final Duration IDLE_TIME = Duration.ofMillis(20);

	@DataProvider
	public static Object[][] oldResponses() {
		return new Object[][] { { "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 3\r\n\r\n" + OLD_BODY }, {
				"HTTP/1.1 200 OK\r\nX-First: a\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n" },
				{ "HTTP/1.1 204 No Content\r\nTest-Id: 1\r\n\r\n" }, { "HTTP/1.1 304 Not Modified\r\n\r\n" },
				{ "HTTP/1.1 100 Continue\r\n\r\n" }, { "HTTP/1.1 200 OK\r\n\r\n" },
				{ "HTTP/1.1 200 OK\r\nTest-Id: 2\r\nTest-Id: 1\r\nContent-Length: 3\r\n\r\n" + OLD_BODY } };
	}

	// A late copy of an earlier response breaks off, and the response to the request
	// follows within the same line.
	@Test(dataProvider = "oldResponses")
	public void aLateResponseCutAnywhereLendsNoStatusToTheNextOne(String old) throws IOException {
		for (int cut = 0; cut <= old.length(); cut++) {
			String part = old.substring(0, cut);
			assertFailureOrNothing(
					callAfterFirst((request, connection, out) -> write(out, part + failure(request)), ""), part);
		}
	}

	// The bytes wait in the decoder of an idle connection until the next request.
	@Test(dataProvider = "oldResponses", groups = KNOWN_RED)
	public void bytesOnAnIdleConnectionArePrependedToNoResponse(String old) throws IOException {
		for (int cut = 1; cut <= old.length(); cut++) {
			String part = old.substring(0, cut);
			FakeServer.Script failing = (request, connection, out) -> write(out, failure(request));
			ReceivedResponse second = callAfterFirst(failing, part);
			// A new connection is used, so that the response is the server's.
			assertEquals(second.status(), 500, part);
			assertEquals(second.body(), FAILURE, part);
		}
	}

	// The first response to the same request breaks off, and a failure follows.
	@Test
	public void aResponseCutWithinItsHeadLendsNoStatusToTheNextOne() throws IOException {
		String first = "HTTP/1.1 200 OK\r\nX-First: a\r\nTest-Id: 2\r\nContent-Length: " + OWN_BODY.length()
				+ "\r\n\r\n";
		for (int cut = 0; cut < first.length(); cut++) {
			String part = first.substring(0, cut);
			assertFailureOrNothing(
					callAfterFirst((request, connection, out) -> write(out, part + failure(request)), ""), part);
		}
	}

	// The first response to the same request breaks off within its body, and the second
	// one fills the rest.
	@Test(dataProvider = "bodyLengths")
	public void aResponseCutWithinItsBodyIsNotFilledUpByTheNextOne(int length) throws IOException {
		String body = "x".repeat(length);
		String head = "HTTP/1.1 200 OK\r\nTest-Id: 2\r\nContent-Length: " + length + "\r\n\r\n";
		for (int cut = 0; cut < length; cut += 1 + length / 60) {
			String part = body.substring(0, cut);
			ReceivedResponse second = callAfterFirst(
					(request, connection, out) -> write(out, head + part + failure(request)), "");
			assertFalse(second.complete() && second.status() == 200, cut + " -> " + second);
		}
	}

	// The same within a chunk, of whose rest the second response may become a part.
	@Test(dataProvider = "bodyLengths")
	public void aChunkCutAnywhereIsNotFilledUpByTheNextResponse(int length) throws IOException {
		String chunk = FakeServer.chunk("x".repeat(length));
		String head = "HTTP/1.1 200 OK\r\nTest-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
		for (int cut = 0; cut < chunk.length(); cut += 1 + length / 60) {
			String part = chunk.substring(0, cut);
			ReceivedResponse second = callAfterFirst(
					(request, connection, out) -> write(out, head + part + failure(request)), "");
			assertFalse(second.complete() && second.status() == 200, cut + " -> " + second);
		}
	}

	@DataProvider
	public static Object[][] bodyLengths() {
		return new Object[][] { { 3 }, { 30 }, { 90 }, { 600 } };
	}

	// A body may quote responses, also with ids of other requests.
	@Test
	public void aBodyThatQuotesAResponseIsForwardedWhole() throws IOException {
		for (String quoted : List.of("HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\n", "see HTTP/1.1 404 for Test-Id: 2\r\n",
				"HTTP/1.1 500", "HHTTP/1.1 500 H", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n\nTest-Id: 2\r")) {
			FakeServer.Script quoting = (request, connection, out) -> write(out,
					FakeServer.answer(request, "200 OK", quoted));
			assertEquals(callAfterFirst(quoting, "").body(), quoted);
		}
	}

	// Fields that may be repeated, and reason phrases of any kind, belong to sound heads.
	@Test
	public void unusualHeadsOfSoundServersAreForwarded() throws IOException {
		for (String line : List.of("200 OK", "200 ", "200", "200 HTTP is fine", "200 HTTP/1.1", "299 Made (up) / 7",
				"500 HTTP/2 200 upstream")) {
			FakeServer.Script unusual = (request, connection, out) -> write(out,
					"HTTP/1.1 " + line + "\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nVia: HTTP/1.1 proxy\r\nTest-Id: "
							+ FakeServer.header(request, "test-id") + "\r\nContent-Length: 2\r\n\r\nok");
			ReceivedResponse second = callAfterFirst(unusual, "");
			assertEquals(second.status(), Integer.parseInt(line.substring(0, 3)), line);
			assertEquals(second.body(), "ok", line);
		}
	}

	private static void assertFailureOrNothing(ReceivedResponse response, String part) {
		if (response.status() == 500) {
			assertEquals(response.body(), FAILURE, part);
			return;
		}
		assertTrue(response.isOfRouter() && response.status() > 500, part + " -> " + response);
	}

	/**
	 * Calls a server twice over the same connections.
	 * @param second answers the second request
	 * @param idle the bytes that the server sends between both requests
	 * @return the second response
	 */
	private static ReceivedResponse callAfterFirst(FakeServer.Script second, String idle) throws IOException {
		FakeServer.Script script = (request, connection, out) -> {
			if (FakeServer.header(request, "test-id").equals("1")) {
				write(out, FakeServer.answer(request, "200 OK", OLD_BODY));
				return;
			}
			second.answer(request, connection, out);
		};
		try (RelayFixture fixture = new RelayFixture(script); Socket caller = fixture.connect()) {
			RelayFixture.write(caller, request("1", ""));
			assertEquals(ReceivedResponse.read(caller.getInputStream()).body(), OLD_BODY);
			if (!idle.isEmpty()) {
				OutputStream out = fixture.servers.get(0).connections.get(0).getOutputStream();
				write(out, idle);
				out.flush();
				LockSupport.parkNanos(IDLE_TIME.toNanos());
			}
			RelayFixture.write(caller, request("2", DEADLINE));
			ReceivedResponse response = ReceivedResponse.read(caller.getInputStream());
			assertFalse(response.body().contains(OLD_BODY), response.toString());
			return response;
		}
	}

	private static String failure(String request) {
		return FakeServer.answer(request, "500 Oops", FAILURE);
	}

	private static String request(String id, String headers) {
		return RelayFixture.request("/once/", headers, "").replace("Test-Id: 77", "Test-Id: " + id);
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

}
