package io.verbenacleat.itest.office;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.grpc.Channel;
import io.grpc.ClientInterceptors;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.ConfigFiles;
import io.verbenacleat.core.config.ConfigLoader;
import io.verbenacleat.core.config.ConfigText;
import io.verbenacleat.core.rpc.FleetSecret;
import io.verbenacleat.proto.v1.AgentServiceGrpc;
import io.verbenacleat.proto.v1.ChatWork;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.OrderId;
import okhttp3.Request;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Guards against invalid input that is accepted, is refused without a specific error
 * code, or makes an entry unable to serve other requests.
 */
@SuppressWarnings("NullAway.Init")
public class BadInputTests {

	private static final int READ_TIMEOUT_MS = 5_000;

	private static final Pattern CONTENT_LENGTH = Pattern.compile("(?is)^HTTP.*?\r\ncontent-length: ([0-9]+)\r\n");

	private OfficeFixture office;

	private int checks;

	@BeforeClass
	public void start() throws Exception {
		this.office = OfficeFixture.start(2, 1);
	}

	@AfterClass(alwaysRun = true)
	public void stop() throws Exception {
		this.office.close();
	}

	@AfterMethod
	public void entriesStillServe() {
		for (int entry = 0; entry < 2; entry++) {
			String word = "after" + this.checks++;
			Reply reply = this.office.caller.chat(this.office.url(entry), this.office.key,
					Caller.chatBody(word, 3, 10));
			assertTrue(reply.isDone(), reply.toString());
			assertEquals(reply.content(), Caller.answer(word, 3));
		}
	}

	@Test
	public void unknownKeysAreRefused() {
		String unknownKey = CallerKey.create(OfficeFixture.ACCOUNT, new SplittableRandom(9)).reveal();
		String keyOfUnknownAccount = CallerKey.create("nobody", new SplittableRandom(9)).reveal();
		for (String key : List.of(unknownKey, keyOfUnknownAccount, "vk_", "x", "vk_pans_" + "é".repeat(3))) {
			if (key.chars().allMatch((c) -> c < 128)) {
				assertRefused(this.office.caller.chat(this.office.url(0), key, Caller.chatBody("k", 3, 10)), 401,
						"invalid_api_key");
			}
		}
		Reply withoutKey = this.office.caller
			.send(new Request.Builder().url(this.office.url(1) + "/v1/models").build());
		assertRefused(withoutKey, 401, "invalid_api_key");
	}

	@Test
	public void revokedKeyIsRefusedByEveryEntry() throws Exception {
		String key = this.office.callers.create(OfficeFixture.ACCOUNT, "leaver").reveal();
		for (int entry = 0; entry < 2; entry++) {
			String url = this.office.url(entry);
			OfficeFixture.await("the new key works",
					() -> this.office.caller.chat(url, key, Caller.chatBody("new", 3, 10)).isDone());
		}
		long revokedNanos = System.nanoTime();
		this.office.callers.revoke(OfficeFixture.ACCOUNT, "leaver");
		for (int entry = 0; entry < 2; entry++) {
			String url = this.office.url(entry);
			OfficeFixture.await("the revoked key is refused",
					() -> this.office.caller.chat(url, key, Caller.chatBody("old", 3, 10))
						.code()
						.equals("revoked_api_key"));
		}
		long tookMs = (System.nanoTime() - revokedNanos) / 1_000_000;
		System.out.println("revoked key refused everywhere after " + tookMs + " ms");
	}

	@Test
	public void idempotencyKeysAreScopedToTheAccount() throws Exception {
		this.office.accounts.create("other", "quotes", 1);
		this.office.accounts.topUp("other", "t", 10_000);
		String other = this.office.callers.create("other", "c").reveal();
		Reply own = this.office.caller.createBooking(this.office.url(0), this.office.key, "shared",
				"{\"slot\":\"own\"}");
		Reply theirs = this.office.caller.createBooking(this.office.url(0), other, "shared", "{\"slot\":\"own\"}");
		assertEquals(own.status(), 201, own.toString());
		assertEquals(theirs.status(), 201, theirs.toString());
		assertFalse(theirs.replayed(), "replayed the response of another account");
	}

	@DataProvider
	public Object[][] badBodies() {
		String chat = Caller.chatBody("b", 3, 10);
		return new Object[][] { { new Input("empty", ""), 400, "invalid_request" },
				{ new Input("half an object", "{"), 400, "invalid_request" },
				{ new Input("an array", "[]"), 400, "invalid_request" },
				{ new Input("trailing text", chat + "x"), 400, "invalid_request" },
				{ new Input("deep nesting", "[".repeat(60_000)), 400, "invalid_request" },
				{ new Input("over the limit", "{\"a\":\"" + "x".repeat(OfficeConfigFiles.MAX_BODY_BYTES) + "\"}"), 413,
						"body_too_large" },
				{ new Input("far over the limit", "x".repeat(17 * 1024 * 1024)), 413, "body_too_large" },
				{ new Input("max_tokens -1", chat.replace(":10,", ":-1,")), 400, "invalid_parameter" },
				{ new Input("max_tokens 0", chat.replace(":10,", ":0,")), 400, "invalid_parameter" },
				{ new Input("max_tokens 1e300", chat.replace(":10,", ":1e300,")), 400, "invalid_parameter" },
				{ new Input("max_tokens over long", chat.replace(":10,", ":9223372036854775808,")), 400,
						"invalid_parameter" },
				{ new Input("max_tokens text", chat.replace(":10,", ":\"10\",")), 400, "invalid_parameter" },
				{ new Input("max_tokens of 5000 digits", chat.replace(":10,", ":" + "9".repeat(5_000) + ",")), 400,
						null },
				{ new Input("max_tokens twice", chat.replace(":10,", ":10,\"max_tokens\":4000,")), 400,
						"invalid_request" },
				{ new Input("n 2", chat.replace(":10,", ":10,\"n\":2,")), 400, "invalid_parameter" },
				{ new Input("unknown model", chat.replace("quotes", "none")), 404, "model_not_found" },
				{ new Input("no messages", "{\"model\":\"quotes\",\"messages\":[]}"), 400, "invalid_parameter" },
				{ new Input("messages object", "{\"model\":\"quotes\",\"messages\":{}}"), 400, "invalid_parameter" } };
	}

	@Test(dataProvider = "badBodies")
	public void badBodiesAreRefused(Input body, int status, String code) {
		Reply reply = this.office.caller.chat(this.office.url(0), this.office.key, body.text());
		assertRefused(reply, status, (code != null) ? code : reply.code());
	}

	@Test
	public void badHeadersAreRefused() {
		for (String timeout : List.of("0", "-1", "x", "99999999")) {
			Reply reply = this.office.caller.post(this.office.url(0) + "/v1/chat/completions", this.office.key,
					Caller.chatBody("t", 3, 10), Map.of("Verbena-Timeout-Ms", timeout));
			assertRefused(reply, 400, "invalid_request");
		}
		Reply noKey = this.office.caller.post(this.office.url(0) + "/bookings", this.office.key, "{}", Map.of());
		assertRefused(noKey, 400, "idempotency_key_required");
		Reply longKey = this.office.caller.createBooking(this.office.url(0), this.office.key, "k".repeat(300), "{}");
		assertRefused(longKey, 400, "invalid_request");
		Reply noRoute = this.office.caller.post(this.office.url(0) + "/elsewhere", this.office.key, "{}", Map.of());
		assertRefused(noRoute, 404, "route_not_found");
	}

	@Test
	public void pipelinedRequestsAreAnsweredInOrder() throws IOException {
		String chat = Caller.chatBody("pipe", 50, 60).replace("\"stream\":true,", "");
		String head = " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + this.office.key + "\r\n";
		String response = sendRaw("POST /v1/chat/completions" + head + "Content-Length: " + chat.length() + "\r\n\r\n"
				+ chat + "GET /v1/models" + head + "\r\n");
		assertTrue(response.contains(Caller.answer("pipe", 50)),
				"the first response does not belong to the first request: " + response);
	}

	@Test
	public void wellFormedRawRequestIsAccepted() throws IOException {
		String response = sendRaw(
				"GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + this.office.key + "\r\n\r\n");
		assertTrue(response.startsWith("HTTP/1.1 200"), response);
	}

	@DataProvider
	public Object[][] rawRequests() {
		String chat = "{}";
		String auth = "Authorization: Bearer " + this.office.key + "\r\n";
		String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + auth;
		return new Object[][] {
				{ new Input("length and chunks", head
						+ "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n") },
				{ new Input("negative length", head + "Content-Length: -5\r\n\r\n" + chat) },
				{ new Input("long header",
						head + "X-Long: " + "x".repeat(100_000) + "\r\nContent-Length: 2\r\n\r\n{}") },
				{ new Input("long path", "GET /" + "x".repeat(100_000) + " HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n") },
				{ new Input("space before colon", head + "Content-Length : 2\r\n\r\n{}") },
				{ new Input("no HTTP", "\u0016\u0003\u0001 hello\r\n\r\n") },
				{ new Input("bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n") } };
	}

	@Test(dataProvider = "rawRequests")
	public void malformedRequestsAreRefused(Input input) throws IOException {
		String response = sendRaw(input.text());
		assertTrue(response.startsWith("HTTP/1.1 400 "), input + ": " + response);
		assertTrue(response.contains("\"code\":\"invalid_request\""), input + ": " + response);
	}

	@Test
	public void foldedAuthorizationHeaderIsRefused() throws IOException {
		String response = sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer\r\n "
				+ this.office.key.substring(0, 20) + "\r\nContent-Length: 2\r\n\r\n{}");
		assertTrue(response.startsWith("HTTP/1.1 401 "), response);
		assertTrue(response.contains("\"code\":\"invalid_api_key\""), response);
	}

	@Test
	public void twoContentLengthsAreRefused() throws IOException {
		String chat = Caller.chatBody("raw", 3, 10);
		String response = sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
				+ this.office.key + "\r\nContent-Length: " + chat.length() + "\r\nContent-Length: 5\r\n\r\n" + chat);
		assertTrue(response.startsWith("HTTP/1.1 400 "), response);
	}

	@Test
	public void incompleteRequestsDoNotBlockTheEntry() throws IOException {
		Socket[] sockets = new Socket[40];
		for (int i = 0; i < sockets.length; i++) {
			sockets[i] = new Socket("127.0.0.1", this.office.entries.get(0).httpPort());
			sockets[i].getOutputStream()
				.write("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"
					.getBytes(StandardCharsets.US_ASCII));
		}
		entriesStillServe();
		for (Socket socket : sockets) {
			socket.close();
		}
	}

	@Test
	public void agentsRefuseOrdersWithoutTheFleetSecret() throws Exception {
		int before = this.office.engines.get(0).records().size();
		String address = OfficeFixture.agentHost(0) + ":" + this.office.agents.get(0).rpcPort();
		ManagedChannel channel = NettyChannelBuilder.forTarget("dns:///" + address).usePlaintext().build();
		try {
			assertUnauthenticated(channel);
			assertUnauthenticated(
					ClientInterceptors.intercept(channel, FleetSecret.of("another-secret-of-16").clientInterceptor()));
		}
		finally {
			channel.shutdownNow();
		}
		assertEquals(this.office.engines.get(0).records().size(), before);
	}

	@Test
	public void overlayWithUnknownKeysIsRefused() {
		ConfigFiles files = new ConfigFiles(OfficeConfigFiles.files(this.office.servers, 0).base(),
				Map.of("austin", new ConfigText("austin.yaml", "limits: {maxBodyByte: 5}\nextra: 1\n")));
		ConfigException refused = expectThrows(ConfigException.class, () -> new ConfigLoader().loadAll(files));
		String message = String.valueOf(refused.getMessage());
		for (String part : Set.of("austin.yaml", "limits.maxBodyByte", "extra", "unknown key", "maxBodyBytes")) {
			assertTrue(message.contains(part), message);
		}
	}

	private void assertUnauthenticated(Channel channel) {
		String agent = this.office.agents.get(0).incarnation();
		ExecuteRequest order = ExecuteRequest.newBuilder()
			.setOrderId(OrderId.newBuilder().setGatewayIncarnation("g").setAgentIncarnation(agent).setSequence(1))
			.setRequestId("req-g-1")
			.setAccount(OfficeFixture.ACCOUNT)
			.setReservedTokens(1_000)
			.setChat(ChatWork.newBuilder().setModel("quotes"))
			.build();
		StatusRuntimeException refused = expectThrows(StatusRuntimeException.class,
				() -> AgentServiceGrpc.newBlockingStub(channel).execute(order).next());
		assertEquals(refused.getStatus().getCode(), Status.Code.UNAUTHENTICATED);
	}

	private static void assertRefused(Reply reply, int status, String code) {
		assertEquals(reply.status(), status, reply.toString());
		assertEquals(reply.code(), code);
		assertEquals(reply.outcome(), "not-run");
		assertEquals(reply.problem().path("status").asInt(), status);
		assertFalse(reply.problem().path("error").path("message").asText().isEmpty(), reply.toString());
	}

	/**
	 * Sends bytes on a new connection and reads until one response is complete or the
	 * connection is closed.
	 * @param request the bytes as ISO 8859-1 text
	 * @return the response, empty when the connection was closed without one
	 */
	private String sendRaw(String request) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.office.entries.get(0).httpPort())) {
			socket.setSoTimeout(READ_TIMEOUT_MS);
			OutputStream out = socket.getOutputStream();
			out.write(request.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			StringBuilder response = new StringBuilder();
			InputStream in = socket.getInputStream();
			int next = in.read();
			while (next >= 0) {
				response.append((char) next);
				next = (isComplete(response.toString())) ? -1 : in.read();
			}
			return response.toString();
		}
	}

	private static boolean isComplete(String response) {
		Matcher head = CONTENT_LENGTH.matcher(response);
		int headEnd = response.indexOf("\r\n\r\n");
		return headEnd > 0 && head.find() && response.length() >= headEnd + 4 + Integer.parseInt(head.group(1));
	}

	/**
	 * An invalid input with a name for the test report. Immutable.
	 *
	 * @param name the defect in words
	 * @param text the text to send
	 */
	private record Input(String name, String text) {

		@Override
		public String toString() {
			return this.name;
		}

	}

}
