package io.verbenacleat.router.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests requests that state the end of their body in different ways, on kept connections.
 * When the end is uncertain, a part of the body would be taken for the next request.
 */
public class RequestFramingTests {

	private static final String LENGTH = "Content-Length: ";

	private static final String CODING = "Transfer-Encoding: ";

	private static final String BODY = "hello";

	private static final String CHUNKS = "5\r\nhello\r\n0\r\n\r\n";

	private static final int FUZZ_REQUESTS = Integer.getInteger("framing.requests", 300);

	private static final FakeServer.Script ECHO = (request, connection, out) -> out
		.write(bytes(FakeServer.answer(request, "200 OK", request.substring(request.indexOf("\r\n\r\n") + 4))));

	@DataProvider
	public Object[][] certainEnds() {
		return new Object[][] { { LENGTH + "5", BODY }, { LENGTH + "\t5 ", BODY }, { "content-length:5", BODY },
				{ LENGTH + "0005", BODY }, { LENGTH + "00000000000000000005", BODY }, { CODING + "chunked", CHUNKS },
				{ CODING + "Chunked", CHUNKS }, { "transfer-encoding:\tCHUNKED\t ", CHUNKS },
				{ CODING + ", chunked,", CHUNKS }, { CODING + "\r\n" + CODING + "chunked", CHUNKS },
				{ CODING + "chunked", "0005\r\nhello\r\n000\r\n\r\n" },
				{ CODING + "chunked", "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n" },
				{ CODING + "chunked", "5;name=\"v;1\"\r\nhello\r\n0;last\r\n\r\n" },
				{ CODING + "chunked", "5 ;name\r\nhello\r\n0\r\n\r\n" },
				{ CODING + "chunked", "5\r\nhello\r\n0\r\nTest-Trailer: 1\r\n" + LENGTH + "9\r\n\r\n" } };
	}

	@DataProvider
	public Object[][] uncertainEnds() {
		return new Object[][] { { 400, CODING + "gzip" }, { 400, CODING + "xchunked" }, { 400, CODING + "chunkedx" },
				{ 400, CODING + "deflate" }, { 400, CODING + "identity" }, { 400, CODING + "gzip, identity" },
				{ 400, CODING + "chunked, gzip" }, { 400, CODING + "chunked, identity" },
				{ 400, CODING + "chunked, chunked" }, { 400, CODING + "chunked\r\n" + CODING + "chunked" },
				{ 400, CODING + "chunked\r\n" + CODING + "identity" }, { 400, CODING }, { 400, CODING + ", ," },
				{ 400, CODING + "chunked;q=1" }, { 400, CODING + "chunked x" }, { 400, CODING + "\"chunked\"" },
				{ 400, CODING + "\u000bchunked" }, { 400, CODING + "chunked\u000b" }, { 400, CODING + "chunked\u0000" },
				{ 400, CODING + "chunked\u001f" }, { 400, CODING + "\u0001chunked" }, { 400, CODING + "chunked\u007f" },
				{ 400, CODING + "chunked\rX: y" }, { 400, CODING + "chun\r\n ked" }, { 400, CODING + "\r\n gzip" },
				{ 400, "Transfer-Encoding : chunked" }, { 400, "Transfer-Encoding\t: chunked" },
				{ 400, "Transfer-Encoding" }, { 400, CODING + "chunked\r\n" + LENGTH + "5" },
				{ 400, LENGTH + "5\r\n" + CODING + "chunked" }, { 400, LENGTH + "5\r\n" + CODING + "gzip" },
				{ 400, LENGTH + "0\r\n" + CODING }, { 400, LENGTH + "+5" }, { 400, LENGTH + "-5" },
				{ 400, LENGTH + "-0" }, { 400, LENGTH + "5, 5" }, { 400, LENGTH + "5, 6" },
				{ 400, LENGTH + "0\r\n" + LENGTH + "0" }, { 400, LENGTH + "0\r\n" + LENGTH + "6" }, { 400, LENGTH },
				{ 400, LENGTH + "0x5" }, { 400, LENGTH + "0 5" }, { 400, LENGTH + "0;" }, { 400, LENGTH + "0.0" },
				{ 400, LENGTH + "18446744073709551616" }, { 400, "Content-Length : 0" },
				{ 501, CODING + "gzip, chunked" }, { 501, CODING + "gzip\r\n" + CODING + "chunked" },
				{ 501, CODING + "deflate,,CHUNKED" } };
	}

	@DataProvider
	public Object[][] uncertainEndsInVersions() {
		return new Object[][] { { "HTTP/1.0", CODING + "chunked" }, { "HTTP/1.0", CODING + "gzip" },
				{ "HTTP/1.0", LENGTH + "0\r\n" + CODING + "chunked" }, { "HTTP/1.0", LENGTH + "0\r\n" + LENGTH + "0" },
				{ "HTTP/1.0", LENGTH + "0\r\ncontent-length: 7" }, { "HTTP/1.0", LENGTH + "0, 7" },
				{ "HTTP/2.0", LENGTH + "0" }, { "HTTP/1.2", CODING + "gzip" } };
	}

	@DataProvider
	public Object[][] invalidChunks() {
		return new Object[][] { { "2\r\nabcdef\r\n0\r\n\r\n" }, { "5\r\nhello0\r\n\r\n" }, { "5\r\nhelloX\r\n" },
				{ "100000000\r\n\r\n" }, { "100000005\r\nhello\r\n0\r\n\r\n" }, { "80000000\r\n\r\n" },
				{ "10000000000000000\r\n\r\n" }, { "0000000000000000\r\n\r\n" }, { "0x5\r\nhello\r\n0\r\n\r\n" },
				{ "+5\r\nhello\r\n0\r\n\r\n" }, { "-0\r\n\r\n" }, { " 5\r\nhello\r\n0\r\n\r\n" }, { "\r\n\r\n" },
				{ ";x\r\n\r\n" }, { "g\r\n\r\n" }, { "0\u000b\r\n\r\n" }, { "0\n\r\n" }, { "5\nhello\r\n0\r\n\r\n" },
				{ "5\r\nhello\n0\r\n\r\n" }, { "5\r\nhello\r0\r\n\r\n" }, { "0;x\n\r\n" }, { "0 x\r\n\r\n" },
				{ "5\r\nhello\r\n0 0\r\n\r\n" } };
	}

	// Guards against a refusal of requests whose end is certain, and against a body that
	// ends elsewhere.
	@Test(dataProvider = "certainEnds")
	public void aRequestWithACertainEndIsFollowedByTheNext(String framing, String body) throws IOException {
		try (RelayFixture fixture = new RelayFixture(ECHO); Socket caller = fixture.connect()) {
			RelayFixture.write(caller,
					request("HTTP/1.1", "outer", framing) + body + request("HTTP/1.1", "next", LENGTH + "0"));
			ReceivedResponse first = ReceivedResponse.read(caller.getInputStream());
			ReceivedResponse second = ReceivedResponse.read(caller.getInputStream());
			assertEquals(first.status(), 200, first.toString());
			assertEquals(first.body(), BODY);
			assertEquals(second.status(), 200, second.toString());
			assertEquals(FakeServer.header(second.head(), "test-id"), "next");
			assertEquals(fixture.servers.get(0).requests.size(), 2);
		}
	}

	// Guards against a body that is run as a request of its own, because the end of the
	// request before is not known (review case 9).
	@Test(dataProvider = "uncertainEnds")
	public void aRequestWithAnUncertainEndIsRefused(int status, String framing) throws IOException {
		assertRefused(status, request("HTTP/1.1", "outer", framing));
	}

	// Guards against a body that is run as a request, for framing that a version lacks.
	@Test(dataProvider = "uncertainEndsInVersions")
	public void aVersionWithoutTheFramingIsRefused(String version, String framing) throws IOException {
		assertRefused(400, request(version, "outer", framing));
	}

	// Guards against chunks of which a part is dropped or run as a request: sizes that
	// wrap around, line ends that others do not accept, bytes after a chunk.
	@Test(dataProvider = "invalidChunks")
	public void aRequestWithAnInvalidChunkIsRefused(String chunks) throws IOException {
		assertRefused(400, request("HTTP/1.1", "outer", CODING + "chunked") + chunks);
	}

	// Requests of random framing, each with another request in its body. Guards against
	// bytes at a server that no caller sent as that request, and against a second
	// response.
	@Test
	public void randomFramingSmugglesNothing() throws IOException {
		Random random = new Random(20261207);
		int served = 0;
		try (RelayFixture fixture = new RelayFixture(ECHO)) {
			for (int i = 0; i < FUZZ_REQUESTS; i++) {
				String inner = request("HTTP/1.1", "inner", LENGTH + "0");
				String framing = randomFraming(random, inner.length());
				boolean chunked = framing.toLowerCase(Locale.ROOT).contains("chunk");
				String version = "HTTP/1." + ((random.nextInt(8) == 0) ? 0 : 1);
				String sent = request(version, "outer", framing) + (chunked ? randomChunks(random, inner) : inner);
				String label = "case " + i + ":\n" + sent;
				try (Socket caller = fixture.connect()) {
					int cut = random.nextInt(sent.length());
					RelayFixture.write(caller, sent.substring(0, cut));
					RelayFixture.write(caller, sent.substring(cut));
					boolean answered = ReceivedResponse.read(caller.getInputStream()).status() == 200;
					served += answered ? 1 : 0;
					if (answered && version.equals("HTTP/1.1")) {
						RelayFixture.write(caller, request(version, "last", LENGTH + "0\r\nConnection: close"));
						ReceivedResponse last = ReceivedResponse.read(caller.getInputStream());
						assertEquals(FakeServer.header(last.head(), "test-id"), "last", label);
					}
					assertEquals(RelayFixture.readAll(caller), "", label);
				}
				for (String request : fixture.servers.get(0).requests) {
					String id = FakeServer.header(request, "test-id");
					assertTrue(id.equals("last") || (id.equals("outer") && request.endsWith("\r\n\r\n" + inner)),
							label + "\nrun:\n" + request);
				}
				fixture.servers.get(0).requests.clear();
			}
		}
		assertTrue(served >= FUZZ_REQUESTS / 10, "served: " + served);
	}

	private static String randomFraming(Random random, int bodyLength) {
		List<String> whitespace = List.of("", " ", "\t", "  ", "\u000b", "\u0000");
		List<String> codings = List.of("chunked", "Chunked", "chunked", "gzip", "identity", "xchunked", "", ",",
				"chunked;x", "gzip, chunked", "chunked, gzip", "chunked,chunked");
		List<String> lengths = List.of(Integer.toString(bodyLength), Integer.toString(bodyLength), "+" + bodyLength,
				bodyLength + "," + bodyLength, "0" + bodyLength, "1e1", "", "99999999999999999999");
		StringBuilder framing = new StringBuilder();
		int fields = 1 + random.nextInt(4) / 3;
		for (int i = 0; i < fields; i++) {
			boolean coding = random.nextBoolean();
			String name = coding ? "Transfer-Encoding" : "Content-Length";
			List<String> values = coding ? codings : lengths;
			framing.append((i > 0) ? "\r\n" : "")
				.append(name)
				.append((random.nextInt(10) == 0) ? " " : "")
				.append(':')
				.append(whitespace.get(random.nextInt((random.nextInt(4) == 0) ? 6 : 3)))
				.append(values.get(random.nextInt((random.nextBoolean()) ? 2 : values.size())));
		}
		return framing.toString();
	}

	private static String randomChunks(Random random, String body) {
		StringBuilder chunks = new StringBuilder();
		int end = 0;
		while (end < body.length()) {
			int start = end;
			end = Math.min(body.length(), start + 1 + random.nextInt(body.length()));
			String data = body.substring(start, end);
			String size = Integer.toHexString(data.length());
			String line = switch (random.nextInt(24)) {
				case 0 -> "0" + size + ";a=b";
				case 1 -> "10000000" + size;
				case 2 -> size + "\n";
				case 3 -> "+" + size;
				default -> size;
			};
			chunks.append(line).append("\r\n").append(data).append((random.nextInt(16) == 0) ? "X\r\n" : "\r\n");
		}
		return chunks.append("0\r\n\r\n").toString();
	}

	private static void assertRefused(int status, String request) throws IOException {
		try (RelayFixture fixture = new RelayFixture(ECHO); Socket caller = fixture.connect()) {
			RelayFixture.write(caller, request + request("HTTP/1.1", "inner", LENGTH + "0"));
			ReceivedResponse refusal = ReceivedResponse.read(caller.getInputStream());
			assertEquals(refusal.status(), status, refusal.toString());
			assertTrue(refusal.isOfRouter(), refusal.toString());
			assertEquals(RelayFixture.readAll(caller), "");
			assertFalse(fixture.servers.get(0).requests.stream().anyMatch((run) -> run.contains("Test-Id: ")));
		}
	}

	private static String request(String version, String id, String framing) {
		return "POST /once/ " + version + "\r\nHost: h\r\nTest-Id: " + id + "\r\nTest-Key: " + RelayFixture.KEY + "\r\n"
				+ framing + "\r\n\r\n";
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
