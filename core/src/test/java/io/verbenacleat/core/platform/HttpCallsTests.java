package io.verbenacleat.core.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionException;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Tests that a response without end, from the platform or from another router, fails the
 * call instead of filling the memory.
 */
public class HttpCallsTests {

	/** Longer than the timeout of the test, so that only the size limit ends the call. */
	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

	private static final byte[] CHUNK = ("10000\r\n" + "x".repeat(0x10000) + "\r\n")
		.getBytes(StandardCharsets.US_ASCII);

	@Test(timeOut = 20_000)
	public void anEndlessBodyFailsTheCall() throws IOException {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				PlatformClient client = PlatformClient.builder("http://127.0.0.1:" + server.getLocalPort())
					.callTimeout(CALL_TIMEOUT)
					.build()) {
			Thread writer = new Thread(() -> writeEndlessBody(server), "endless-server");
			writer.setDaemon(true);
			writer.start();
			HttpCalls calls = client.calls(CALL_TIMEOUT);
			CompletionException failure = expectThrows(CompletionException.class,
					() -> calls.get(calls.url("rows").build()).join());
			assertTrue(PlatformException.reason(failure).contains("longer than"), PlatformException.reason(failure));
		}
	}

	private static void writeEndlessBody(ServerSocket server) {
		try (Socket connection = server.accept()) {
			OutputStream out = connection.getOutputStream();
			out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			while (!connection.isClosed()) {
				out.write(CHUNK);
			}
		}
		catch (IOException ex) {
			// Expected: the client closes the connection at the size limit.
			Thread.currentThread().interrupt();
		}
	}

}
