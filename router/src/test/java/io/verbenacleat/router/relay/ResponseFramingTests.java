package io.verbenacleat.router.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests responses of backend servers whose body has no certain end, or a coding that
 * nobody undoes, over sockets.
 */
public class ResponseFramingTests {

	private static final String LAST_CHUNK = "0\r\n\r\n";

	@DataProvider
	public Object[][] codings() {
		return new Object[][] { { "Transfer-Encoding: gzip\r\nContent-Length: 4" },
				{ "Transfer-Encoding: gzip, chunked" }, { "Transfer-Encoding: chunked, gzip" },
				{ "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked" }, { "Transfer-Encoding: xchunked" },
				{ "Transfer-Encoding: chunked;q=1" }, { "Transfer-Encoding: " } };
	}

	// Guards against a body that arrives with a coding of which the caller is not told,
	// or that ends elsewhere than the server meant.
	@Test(dataProvider = "codings")
	public void aResponseWithAnotherCodingIsNoSuccess(String framing) throws IOException {
		String received = call("HTTP/1.1 200 OK\r\nTest-Id: 77\r\n" + framing + "\r\n\r\n4\r\nbody\r\n" + LAST_CHUNK);
		assertTrue(received.startsWith("HTTP/1.1 502"), received);
	}

	@DataProvider
	public Object[][] chunkSizes() {
		return new Object[][] { { "100000000" }, { "100000004" }, { "80000000" }, { "10000000000000000" },
				{ "10000000000000004" }, { "ffffffffffffffff" } };
	}

	// Guards against a chunk of which a part, or nothing, arrives as the whole body,
	// because its size wraps around in the decoder.
	@Test(dataProvider = "chunkSizes")
	public void aChunkSizeThatWrapsAroundIsNoCompleteBody(String size) throws IOException {
		String received = call("HTTP/1.1 200 OK\r\nTest-Id: 77\r\nTransfer-Encoding: chunked\r\n\r\n" + size
				+ "\r\nbody\r\n" + LAST_CHUNK);
		assertFalse(received.startsWith("HTTP/1.1 200") && received.endsWith(LAST_CHUNK), received);
	}

	private static String call(String response) throws IOException {
		FakeServer.Script script = (request, connection, out) -> {
			out.write(response.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			connection.shutdownOutput();
		};
		try (RelayFixture fixture = new RelayFixture(script)) {
			return fixture.call("/once/", "");
		}
	}

}
