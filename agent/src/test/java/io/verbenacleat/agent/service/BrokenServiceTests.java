package io.verbenacleat.agent.service;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

import com.google.protobuf.ByteString;
import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.backend.BackendTarget;
import io.verbenacleat.agent.backend.CollectingSink;
import io.verbenacleat.agent.order.BackendOutcome;
import io.verbenacleat.agent.order.Cancellation;
import io.verbenacleat.agent.order.TestOrders;
import io.verbenacleat.proto.v1.ReceiptStatus;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests responses of a service in trouble that must not be forwarded as complete ones,
 * over sockets.
 */
public class BrokenServiceTests {

	private static final int UPLOAD_BYTES = 6_000_000;

	private static final int TRIES = 3;

	@DataProvider
	public Object[][] resets() {
		return new Object[][] { { 0, 0 }, { 0, 20 }, { 0, 300 }, { 1_000_000, 0 }, { 1_000_000, 20 } };
	}

	// Guards against a part of a response that counts as complete and is billed: the
	// service resets the connection while the request is still being sent.
	@Test(dataProvider = "resets")
	public void aResponseThatIsResetDuringTheUploadIsNotComplete(int readBytes, int delayMs) throws IOException {
		for (int i = 0; i < TRIES; i++) {
			BackendOutcome outcome = call("HTTP/1.1 200 OK\r\n\r\npart", UPLOAD_BYTES, readBytes, delayMs);
			assertEquals(outcome.status(), ReceiptStatus.FAILED, "try " + i);
		}
	}

	@DataProvider
	public Object[][] statuses() {
		return new Object[][] { { "000" }, { "001" }, { "099" }, { "600" }, { "999" }, { "0200" }, { "1000" }, { "20" },
				{ "2x0" } };
	}

	// Guards against a status that callers cannot read, or read as another one.
	@Test(dataProvider = "statuses")
	public void aStatusOutOfRangeIsNotForwarded(String status) throws IOException {
		BackendOutcome outcome = call("HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody", 4, 4, 0);
		assertEquals(outcome.status(), ReceiptStatus.FAILED);
	}

	private static BackendOutcome call(String response, int uploadBytes, int readBytes, int delayMs)
			throws IOException {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				BackendCalls calls = new BackendCalls()) {
			Thread thread = new Thread(() -> serve(server, response, readBytes, delayMs), "broken-service");
			thread.setDaemon(true);
			thread.start();
			BackendTarget target = new BackendTarget("http://127.0.0.1:" + server.getLocalPort(), 3);
			return new PlainServiceClient(calls, target).run(TestOrders.order("g", "a", 1)
				.setRepeatable(true)
				.setHttp(TestOrders.http("POST", "/bookings").setBody(ByteString.copyFrom(new byte[uploadBytes])))
				.build(), new CollectingSink(), new Cancellation());
		}
	}

	private static void serve(ServerSocket server, String response, int readBytes, int delayMs) {
		try (Socket connection = server.accept()) {
			readHead(connection.getInputStream());
			connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
			connection.getInputStream().readNBytes(readBytes);
			LockSupport.parkNanos(Duration.ofMillis(delayMs).toNanos());
			connection.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			// The client has closed the connection, and its outcome shows why.
			Thread.currentThread().interrupt();
		}
	}

	private static void readHead(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				throw new IOException("closed within the head");
			}
			head.append((char) next);
		}
	}

}
