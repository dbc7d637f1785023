package io.verbenacleat.router;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import io.netty.channel.nio.NioEventLoopGroup;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class AdminEndpointTests {

	private static final int TIMEOUT_MS = 5_000;

	private static final String NEXT = "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";

	@DataProvider
	public Object[][] uncertainEnds() {
		return new Object[][] { { "Transfer-Encoding: gzip" }, { "Transfer-Encoding: gzip, chunked" },
				{ "Content-Length: 0\r\nTransfer-Encoding: chunked" },
				{ "Transfer-Encoding: chunked\r\n\r\n100000000" } };
	}

	// Guards against the body of a call that is run as a call of its own.
	@Test(dataProvider = "uncertainEnds")
	public void aRequestWithAnUncertainEndIsTheLastOfItsConnection(String framing) throws IOException {
		String received = call("POST /ready HTTP/1.1\r\n" + framing + "\r\n\r\n" + NEXT);
		assertTrue(received.startsWith("HTTP/1.1 400 "), received);
		assertEquals(received.split("HTTP/1.1 ", -1).length, 2, received);
	}

	// Guards against a response to HEAD whose body is taken for the next response.
	@Test
	public void requestsOfAKeptConnectionAreAnswered() throws IOException {
		String received = call("HEAD /ready HTTP/1.1\r\n\r\n"
				+ "POST /ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" + NEXT);
		assertEquals(received.split("HTTP/1.1 200 OK", -1).length, 4, received);
	}

	private static String call(String requests) throws IOException {
		NioEventLoopGroup loop = new NioEventLoopGroup(1);
		try (AdminEndpoint endpoint = AdminEndpoint.readiness(loop, "127.0.0.1", 0, () -> true);
				Socket socket = new Socket("127.0.0.1", endpoint.port())) {
			socket.setSoTimeout(TIMEOUT_MS);
			socket.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		finally {
			loop.shutdownGracefully();
		}
	}

}
