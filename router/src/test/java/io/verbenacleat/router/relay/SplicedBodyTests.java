package io.verbenacleat.router.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests backend servers that stop within a body and send another response, and sound ones
 * whose bodies look similar.
 */
public class SplicedBodyTests {

	private static final String KNOWN_RED = "known-red";

	private static final String CHUNKED_SUCCESS = "HTTP/1.1 200 OK\r\nTest-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String CHUNKED_FAILURE = "HTTP/1.1 500 Oops\r\nTest-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n";

	private static final String FAILURE = "HTTP/1.1 500 Oops\r\nTest-Id: 2\r\nContent-Length: 6\r\n\r\nfailed";

	private static final String DEADLINE = "Test-Deadline: 400\r\n";

	/** Longer than the router takes to read what has been sent. */
	private static final Duration PAUSE = Duration.ofMillis(30);

	// The decoder drops the rest of a line after the size of a chunk, in which the status
	// line of the second response lies, and takes its fields for the chunk.
	@Test(groups = KNOWN_RED)
	public void aChunkSizeCutAfterItsCarriageReturnIsNotFilledUp() throws IOException {
		for (int size = 1; size < 90; size++) {
			for (String first : new String[] { "", "3\r\nabc\r\n" }) {
				ReceivedResponse response = call(
						CHUNKED_SUCCESS + first + Integer.toHexString(size) + "\r" + CHUNKED_FAILURE);
				assertFalse(response.complete() && response.status() == 200, size + " -> " + response);
			}
		}
	}

	// A late response to another request, or one without id, fills a body.
	@Test
	public void aCutBodyIsNotFilledUpByAResponseToAnotherRequest() throws IOException {
		String rest = "Content-Length: 30\r\n\r\n" + "x".repeat(30);
		for (String head : new String[] { "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n", "HTTP/1.1 500 Oops\r\n" }) {
			ReceivedResponse response = call(success(50) + "0123456789" + head + rest);
			assertFalse(response.complete() && response.status() == 200, response.toString());
		}
	}

	// The status line of another response is no line of an event.
	@Test
	public void aResponseBetweenTwoEventsIsNotForwarded() throws IOException {
		String stream = "HTTP/1.1 200 OK\r\nTest-Id: 2\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
				+ "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nid: 2\ndata: b\n\n";
		ReceivedResponse response = call("/stream/", true, stream);
		assertFalse(response.complete(), response.toString());
		assertFalse(response.body().contains("HTTP/1.1"), response.toString());
	}

	// A body may end like the beginning of a status line, with another response after it.
	@Test
	public void aBodyThatEndsLikeAStatusLineIsForwardedWhole() throws IOException {
		for (String body : new String[] { "abH", "abHTTP/1.", "HTTP/1.1 20" }) {
			String whole = success(body.length()) + body;
			assertEquals(call(whole + whole).body(), body);
			assertEquals(call(whole.replace("Test-Id: 2", "Test-Id: 1") + success(2) + "ok").body(), "ok");
		}
	}

	// A length beside chunks is not forwarded with the decoded body.
	@Test
	public void aLengthBesideChunksIsIgnored() throws IOException {
		ReceivedResponse response = call(
				"HTTP/1.0 200 OK\r\nTest-Id: 2\r\nConnection: keep-alive\r\nContent-Length: 3\r\n"
						+ "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n");
		assertEquals(response.body(), "0123456789");
	}

	// The status line of the second response begins with that of the first.
	@Test
	public void aStatusLineWithBytesBeforeItIsNoStatusLine() throws IOException {
		for (String part : new String[] { "x", "HT", "HTTP", "HTTP/1", "HTTP/1.1" }) {
			ReceivedResponse response = call(part + FAILURE);
			assertEquals(response.status(), 502, part + " -> " + response);
		}
	}

	// The body ends within the head of the second response, whose rest comes later.
	@Test(groups = KNOWN_RED)
	public void aCutBodyIsNotFilledUpByAHeadThatComesInTwoParts() throws IOException {
		for (int part = 1; part < FAILURE.indexOf("\r\n\r\n"); part++) {
			ReceivedResponse response = call("/once/", false,
					success(10 + part) + "0123456789" + FAILURE.substring(0, part), FAILURE.substring(part));
			assertFalse(response.complete() && response.status() == 200, part + " -> " + response);
		}
	}

	// Guards against bytes between a chunk and the end of their line, which the decoder
	// drops.
	@Test
	public void aChunkLongerThanItsSizeIsNotCut() throws IOException {
		ReceivedResponse response = call(CHUNKED_SUCCESS + "3\r\nabcdef\r\n0\r\n\r\n");
		assertFalse(response.complete() && response.status() == 200, response.toString());
	}

	// Guards against the same when the bytes arrive one by one or follow a line end in
	// part.
	@Test
	public void bytesAfterAChunkAreNotDropped() throws IOException {
		String body = "3\r\nabcdef\r\n0\r\n\r\n";
		for (int cut = 1; cut < body.length(); cut++) {
			ReceivedResponse response = call("/once/", false, CHUNKED_SUCCESS + body.substring(0, cut),
					body.substring(cut));
			assertFalse(response.complete() && response.status() == 200, cut + " -> " + response);
		}
		ReceivedResponse response = call(CHUNKED_SUCCESS + "3\r\nabc\rd\r\n0\r\n\r\n");
		assertFalse(response.complete() && response.status() == 200, response.toString());
	}

	// Guards against a sound body that is refused because of its extensions, trailers or
	// line ends.
	@Test
	public void soundChunksAreForwarded() throws IOException {
		List<String> bodies = List.of("3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n", "6;a=3b\r\nabcdef\r\n0\r\n\r\n",
				"6 ;x\r\nabcdef\r\n0\r\nA: b\r\n\r\n", "006\r\nabcdef\r\n000\r\n\r\n", "6\nabcdef\n0\n\n",
				"3\r\nabc\n3\r\ndef\r\n0\r\n\r\n");
		for (String body : bodies) {
			ReceivedResponse response = call(CHUNKED_SUCCESS + body);
			assertTrue(response.complete() && response.status() == 200, body + " -> " + response);
			assertEquals(response.body(), "abcdef", body);
		}
	}

	private static String success(int length) {
		return "HTTP/1.1 200 OK\r\nTest-Id: 2\r\nContent-Length: " + length + "\r\n\r\n";
	}

	private static ReceivedResponse call(String response) throws IOException {
		return call("/once/", false, response);
	}

	/**
	 * Calls a server twice over the same connections.
	 * @param path the path of the second request
	 * @param closing whether the server closes the connection after its second response
	 * @param parts the bytes after the second request
	 * @return the second response
	 */
	private static ReceivedResponse call(String path, boolean closing, String... parts) throws IOException {
		FakeServer.Script script = (request, connection, out) -> {
			if (FakeServer.header(request, "test-id").equals("1")) {
				write(out, FakeServer.answer(request, "200 OK", "old"));
				return;
			}
			for (String part : parts) {
				write(out, part);
				if (parts.length > 1) {
					LockSupport.parkNanos(PAUSE.toNanos());
				}
			}
			if (closing) {
				connection.close();
			}
		};
		try (RelayFixture fixture = new RelayFixture(script); Socket caller = fixture.connect()) {
			RelayFixture.write(caller, request("/once/", "1"));
			assertEquals(ReceivedResponse.read(caller.getInputStream()).body(), "old");
			RelayFixture.write(caller, request(path, "2"));
			return ReceivedResponse.read(caller.getInputStream());
		}
	}

	private static String request(String path, String id) {
		return RelayFixture.request(path, DEADLINE, "").replace("Test-Id: 77", "Test-Id: " + id);
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

}
