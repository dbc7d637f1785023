package io.verbenacleat.entry.http;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.core.config.BackendServerConfig;
import io.verbenacleat.core.config.BudgetConfig;
import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.ModelConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.config.ServiceConfig;
import io.verbenacleat.core.config.ServiceConfig.RouteConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.request.CallerRequest;
import io.verbenacleat.entry.request.Refusal;
import io.verbenacleat.entry.request.RefusalCode;
import io.verbenacleat.entry.request.ResponseListener;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against invalid input that is accepted, and against truncated responses that
 * look complete.
 */
public class HttpGatewayTests {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final String KEY = CallerKey.create("acct", new SplittableRandom(7)).reveal();

	private static final String CHAT = "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.callTimeout(Duration.ofSeconds(20))
		.build();

	private Blackboard blackboard = new Blackboard();

	private ScriptedRunner runner = new ScriptedRunner();

	private @Nullable HttpGateway gateway;

	@BeforeMethod
	public void restart() throws IOException {
		this.blackboard = new Blackboard();
		this.runner = new ScriptedRunner();
		this.gateway = startGateway();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		gateway().close();
	}

	@DataProvider
	public Object[][] badBodies() {
		return new Object[][] { { "{", 400, "invalid_request" }, { "[]", 400, "invalid_request" },
				{ CHAT + "} trailing", 400, "invalid_request" },
				{ CHAT + ",\"max_tokens\":1,\"max_tokens\":99}", 400, "invalid_request" },
				{ CHAT + ",\"max_tokens\":-1}", 400, "invalid_parameter" },
				{ CHAT + ",\"max_tokens\":0}", 400, "invalid_parameter" },
				{ CHAT + ",\"max_tokens\":1e30}", 400, "invalid_parameter" },
				{ CHAT + ",\"max_tokens\":99999999999999999999}", 400, "invalid_parameter" },
				{ CHAT + ",\"max_tokens\":\"5\"}", 400, "invalid_parameter" },
				{ CHAT + ",\"n\":2}", 400, "invalid_parameter" }, { CHAT + ",\"stream\":3}", 400, "invalid_parameter" },
				{ "{\"model\":\"m1\",\"messages\":[]}", 400, "invalid_parameter" },
				{ CHAT.replace("m1", "other") + "}", 404, "model_not_found" },
				{ CHAT.replace("\"hi\"", "[{\"type\":\"input_audio\"}]") + "}", 400, "invalid_parameter" },
				{ CHAT + ",\"pad\":\"" + "x".repeat(3000) + "\"}", 413, "body_too_large" } };
	}

	@Test(dataProvider = "badBodies")
	public void badBodiesAreRefusedBeforeARun(String body, int status, String code) throws IOException {
		try (Response response = post("/v1/chat/completions", body, KEY)) {
			assertProblem(response, status, code);
		}
		assertTrue(this.runner.requests.isEmpty());
	}

	@DataProvider
	public Object[][] badKeys() {
		return new Object[][] { { "" }, { "sk-123" }, { KEY + "x" }, { KEY.toUpperCase(Locale.ROOT) },
				{ "vk_../x_" + "a".repeat(43) } };
	}

	@Test(dataProvider = "badKeys")
	public void malformedKeysAreRefused(String key) throws IOException {
		try (Response response = post("/v1/chat/completions", CHAT + "}", key)) {
			assertProblem(response, 401, "invalid_api_key");
		}
		assertTrue(this.runner.requests.isEmpty());
	}

	@Test
	public void aCompleteStreamEndsWithDone() throws IOException {
		this.runner.script = (listener) -> {
			answerTwoChunks(listener);
			listener.onFinished(receipt(ReceiptStatus.COMPLETE));
		};
		try (Response response = post("/v1/chat/completions", CHAT + ",\"stream\":true}", KEY)) {
			String text = response.body().string();
			assertEquals(response.code(), 200);
			assertTrue(text.contains("\"content\":\"one\""), text);
			assertTrue(text.endsWith("data: [DONE]\n\n"), text);
		}
		awaitIdle();
	}

	@Test
	public void aBrokenStreamEndsWithAnErrorAndWithoutDone() throws IOException {
		this.runner.script = (listener) -> {
			answerTwoChunks(listener);
			listener.onRefused(Refusal.unknown(RefusalCode.ORDER_LOST, "lost"));
		};
		try (Response response = post("/v1/chat/completions", CHAT + ",\"stream\":true}", KEY)) {
			String text = response.body().string();
			assertTrue(text.contains("\"code\":\"order_lost\""), text);
			assertFalse(text.contains("[DONE]"), text);
		}
		awaitIdle();
	}

	@Test
	public void aMalformedChunkFailsTheStream() throws IOException {
		this.runner.script = (listener) -> {
			listener.onChatChunk(ByteString.copyFromUtf8("{broken"));
			listener.onFinished(receipt(ReceiptStatus.COMPLETE));
		};
		try (Response response = post("/v1/chat/completions", CHAT + ",\"stream\":true}", KEY)) {
			assertProblem(response, 502, "backend_failed");
		}
	}

	@Test
	public void aCutStreamEndsWithFinishReasonLength() throws IOException {
		this.runner.script = (listener) -> {
			answerTwoChunks(listener);
			listener.onFinished(receipt(ReceiptStatus.CUT));
		};
		try (Response response = post("/v1/chat/completions", CHAT + ",\"stream\":true}", KEY)) {
			assertTrue(response.body().string().contains("\"finish_reason\":\"length\""));
		}
	}

	@Test
	public void aCollectedAnswerIsOneCompletion() throws IOException {
		this.runner.script = (listener) -> {
			answerTwoChunks(listener);
			listener.onFinished(receipt(ReceiptStatus.COMPLETE));
		};
		try (Response response = post("/v1/chat/completions", CHAT + "}", KEY)) {
			JsonNode completion = Json.mapper().readTree(response.body().string());
			assertEquals(completion.path("choices").path(0).path("message").path("content").asText(), "onetwo");
			assertEquals(completion.path("object").asText(), "chat.completion");
		}
	}

	@Test
	public void aRefusalHasRetryAfterAndProblemDetails() throws IOException {
		this.runner.script = (listener) -> listener
			.onRefused(Refusal.notRun(RefusalCode.BUDGET_RESERVED, "reserved").withRetryAfterMs(1_500));
		try (Response response = post("/v1/chat/completions", CHAT + "}", KEY)) {
			assertEquals(response.header("Retry-After"), "2");
			assertProblem(response, 429, "budget_reserved");
		}
	}

	@Test
	public void theWorstCaseIsReserved() throws IOException {
		this.runner.script = (listener) -> listener.onFinished(receipt(ReceiptStatus.COMPLETE));
		post("/v1/chat/completions", CHAT + ",\"max_tokens\":50}", KEY).close();
		CallerRequest request = this.runner.requests.get(0);
		long promptBound = Objects.requireNonNull(request.chat()).getPromptBoundTokens();
		assertTrue(promptBound >= (CHAT + "}").length(), "bound " + promptBound);
		assertEquals(request.reserveTokens(), promptBound + 50 + 8);
	}

	@Test
	public void nonRepeatableRequestsRequireAnIdempotencyKey() throws IOException {
		try (Response response = post("/bookings", "{}", KEY)) {
			assertProblem(response, 400, "idempotency_key_required");
		}
		assertTrue(this.runner.requests.isEmpty());
	}

	@Test
	public void aServiceCallIsForwardedWithoutTheCallerKey() throws IOException {
		this.runner.script = (listener) -> {
			listener.onHttpHead(HttpHead.newBuilder().setStatus(201).build());
			listener.onHttpBody(ByteString.copyFromUtf8("made"));
			listener.onFinished(receipt(ReceiptStatus.COMPLETE));
		};
		Request request = request("/bookings?slot=9", KEY).header("Idempotency-Key", "k1")
			.post(RequestBody.create("{}", JSON))
			.build();
		try (Response response = this.client.newCall(request).execute()) {
			assertEquals(response.code(), 201);
			assertEquals(response.body().string(), "made");
		}
		CallerRequest run = this.runner.requests.get(0);
		assertEquals(Objects.requireNonNull(run.http()).getPathAndQuery(), "/bookings?slot=9");
		assertFalse(run.http().toString().contains(KEY));
		assertFalse(run.repeatable());
	}

	@DataProvider
	public Object[][] ambiguousPaths() {
		return new Object[][] { { "/bookings/a%2e%2e/admin" }, { "/bookings/a%2Fb" }, { "/bookings//x" },
				{ "/bookings/x;y" } };
	}

	@Test(dataProvider = "ambiguousPaths")
	public void ambiguousPathsAreRefused(String path) throws IOException {
		Request request = request(path, KEY).get().build();
		try (Response response = this.client.newCall(request).execute()) {
			assertProblem(response, 400, "invalid_request");
		}
		assertTrue(this.runner.requests.isEmpty());
	}

	@Test
	public void aStoppingEntryRefusesRequests() throws IOException {
		this.blackboard.write(EntryStateKeys.ACCEPTING, false);
		try (Response response = post("/v1/chat/completions", CHAT + "}", KEY)) {
			assertProblem(response, 503, "not_ready");
		}
	}

	@Test
	public void aCallerDisconnectIsDetected() throws Exception {
		ScriptedRunner endlessRunner = this.runner;
		Thread[] writer = new Thread[1];
		endlessRunner.script = (listener) -> {
			writer[0] = new Thread(() -> {
				while (endlessRunner.callerGone.getCount() > 0 && !Thread.currentThread().isInterrupted()) {
					listener.onChatChunk(ScriptedRunner.chunk("x".repeat(1000)));
				}
			});
			writer[0].start();
		};
		Response response = post("/v1/chat/completions", CHAT + ",\"stream\":true}", KEY);
		assertEquals(response.code(), 200);
		response.close();
		assertTrue(endlessRunner.callerGone.await(20, TimeUnit.SECONDS));
		writer[0].join();
		awaitIdle();
	}

	@Test
	public void modelsAreListedForAValidKey() throws IOException {
		try (Response response = this.client.newCall(request("/v1/models", KEY).get().build()).execute()) {
			JsonNode list = Json.mapper().readTree(response.body().string());
			assertEquals(list.path("data").path(0).path("id").asText(), "m1");
		}
	}

	private HttpGateway startGateway() throws IOException {
		this.blackboard.write(EntryStateKeys.CONFIG, config());
		this.blackboard.write(EntryStateKeys.ACCEPTING, true);
		return HttpGateway
			.builder("entry-1", this.blackboard, this.runner,
					(requestId, key) -> CompletableFuture.completedFuture(Optional.empty()))
			.start("127.0.0.1", 0);
	}

	private HttpGateway gateway() {
		return Objects.requireNonNull(this.gateway);
	}

	private void awaitIdle() {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		while (gateway().requestsInProgress() > 0 && System.nanoTime() < deadline) {
			Thread.onSpinWait();
		}
		assertEquals(gateway().requestsInProgress(), 0);
	}

	private Response post(String path, String body, String key) throws IOException {
		return this.client.newCall(request(path, key).post(RequestBody.create(body, JSON)).build()).execute();
	}

	private Request.Builder request(String path, String key) {
		return new Request.Builder().url("http://127.0.0.1:" + gateway().port() + path)
			.header("Authorization", "Bearer " + key);
	}

	private static void assertProblem(Response response, int status, String code) throws IOException {
		String text = response.body().string();
		assertEquals(response.code(), status, text);
		JsonNode problem = Json.mapper().readTree(text);
		assertEquals(problem.path("code").asText(), code);
		assertEquals(problem.path("error").path("code").asText(), code);
		assertFalse(problem.path("requestId").asText().isEmpty());
	}

	private static void answerTwoChunks(ResponseListener listener) {
		listener.onAccepted();
		listener.onChatChunk(ScriptedRunner.chunk("one"));
		listener.onChatChunk(ScriptedRunner.chunk("two"));
	}

	private static Receipt receipt(ReceiptStatus status) {
		return Receipt.newBuilder().setStatus(status).build();
	}

	private static OfficeConfig config() {
		ServiceConfig bookings = new ServiceConfig("bookings", "/bookings",
				List.of(new RouteConfig("list", "GET", "/bookings/**", true, 0),
						new RouteConfig("book", "POST", "/bookings", false, 0)));
		BackendServerConfig engine = new BackendServerConfig("e1", BackendServerConfig.Kind.MODEL_ENGINE,
				"http://127.0.0.1:1", "s1", List.of("m1"), null, false);
		return new OfficeConfig(1, "office", "r1", List.of(new ModelConfig("m1", 1000, 100, 500, 8)), List.of(bookings),
				List.of(engine), new LimitsConfig(2048, 60_000, 64, 1_000, 0), BudgetConfig.DEFAULT);
	}

}
