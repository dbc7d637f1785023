package io.verbenacleat.router.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

import io.verbenacleat.core.platform.InMemoryTableStore;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests responses that begin while the body of the request is still being sent, over
 * sockets. They end with their connection, so that only the way in which it ends tells
 * whether they are complete.
 */
public class ResetResponseTests {

	private static final int UPLOAD_BYTES = 6_000_000;

	private static final int TRIES = Integer.getInteger("early.tries", 3);

	private static final String LAST_CHUNK = "0\r\n\r\n";

	@DataProvider
	public Object[][] resets() {
		List<Object[]> rows = new ArrayList<>();
		for (String path : List.of("/once/", "/again/", "/stream/")) {
			for (int partBytes : new int[] { 16, 40_000 }) {
				for (int readBytes : new int[] { 0, 1_000_000, UPLOAD_BYTES }) {
					for (int delayMs : new int[] { 0, 20 }) {
						rows.add(new Object[] { path, partBytes, readBytes, delayMs });
					}
				}
			}
		}
		return rows.toArray(Object[][]::new);
	}

	// Guards against a part of a response that arrives as a complete success: the server
	// resets the connection, but the router notices it first by a write that fails.
	@Test(dataProvider = "resets")
	public void aResponseThatIsResetDuringTheUploadIsNotComplete(String path, int partBytes, int readBytes, int delayMs)
			throws IOException {
		FakeServer.Script resetting = (request, connection, out) -> {
			out.write(bytes(head(request) + events(partBytes)));
			out.flush();
			connection.getInputStream().readNBytes(readBytes);
			LockSupport.parkNanos(Duration.ofMillis(delayMs).toNanos());
			connection.setSoLinger(true, 0);
			connection.close();
		};
		for (int i = 0; i < TRIES; i++) {
			String received = upload(resetting, path);
			assertFalse(received.startsWith("HTTP/1.1 200") && received.endsWith(LAST_CHUNK),
					"try " + i + ": " + received.substring(0, Math.min(received.length(), 400)));
		}
	}

	// Guards against a refusal of early responses that are complete.
	@Test
	public void anEarlyResponseWithAnOrderlyEndIsComplete() throws IOException {
		FakeServer.Script closing = (request, connection, out) -> {
			out.write(bytes(head(request) + events(16)));
			out.flush();
			connection.getInputStream().readNBytes(UPLOAD_BYTES);
			connection.close();
		};
		String received = upload(closing, "/once/");
		assertTrue(received.startsWith("HTTP/1.1 200") && received.endsWith(LAST_CHUNK), received);
		assertEquals(received.split("data: ", -1).length, 2, received);
	}

	// The server ends its response and reads on. Guards against a whole response that is
	// taken for a broken one, since the request is not sent to its end.
	@Test
	public void anEarlyResponseThatEndsBeforeTheUploadIsComplete() throws IOException {
		FakeServer.Script ending = (request, connection, out) -> {
			out.write(bytes(head(request) + events(16)));
			connection.shutdownOutput();
			connection.getInputStream().readAllBytes();
		};
		String received = upload(ending, "/once/");
		assertTrue(received.startsWith("HTTP/1.1 200") && received.endsWith(LAST_CHUNK), received);
	}

	private static String upload(FakeServer.Script script, String path) throws IOException {
		List<FakeServer> servers = List.of(FakeServer.readingHeads("i-0", script));
		try (RelayFixture fixture = new RelayFixture(new InMemoryTableStore(), servers)) {
			fixture.configureUploads(UPLOAD_BYTES);
			try (Socket caller = fixture.connect()) {
				RelayFixture.write(caller,
						RelayFixture.request(path, "Connection: close\r\n", "x".repeat(UPLOAD_BYTES)));
				return RelayFixture.readAll(caller);
			}
		}
	}

	private static String head(String request) {
		return "HTTP/1.1 200 OK\r\nTest-Id: " + FakeServer.header(request, "test-id")
				+ "\r\nContent-Type: text/event-stream\r\n\r\n";
	}

	private static String events(int bytes) {
		return "id: 1\ndata: " + "e".repeat(bytes) + "\n\n";
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
