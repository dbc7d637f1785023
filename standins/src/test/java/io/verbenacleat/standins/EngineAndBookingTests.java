package io.verbenacleat.standins;

import java.io.IOException;
import java.util.List;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Tests of the engine and booking stand-ins. Other tests compare bills and retries with
 * the answers and records of these servers, so these must be exact and complete.
 */
public class EngineAndBookingTests {

	private final OkHttpClient http = new OkHttpClient();

	private Call post(String url, String body, String fencingToken) {
		return this.http.newCall(new Request.Builder().url(url)
			.header("Fencing-Token", fencingToken)
			.header("Idempotency-Key", "key")
			.post(RequestBody.create(body, MediaType.get("application/json")))
			.build());
	}

	private static String chat(String message, String moreMembers) {
		return "{\"model\":\"model-a\",\"messages\":[{\"role\":\"user\",\"content\":\"" + message + "\"}]" + moreMembers
				+ "}";
	}

	private static String text(Response response) throws IOException {
		try (response) {
			return response.body().string();
		}
	}

	@Test
	public void answerIsCompleteOrCutAtMaxTokens() throws IOException {
		try (EngineStandin engine = EngineStandin.start(new EngineSettings())) {
			String url = engine.url() + "/v1/chat/completions";
			String whole = text(post(url,
					chat("id=z answer=3", ",\"stream\":true,\"stream_options\":" + "{\"include_usage\":true}"), "1")
				.execute());
			assertTrue(whole.contains("\" z-2\"") && whole.contains("\"finish_reason\":\"stop\""));
			assertTrue(whole.contains("\"completion_tokens\":3") && whole.endsWith("data: [DONE]\n\n"));
			String cut = text(post(url, chat("id=z answer=3", ",\"max_tokens\":2"), "1").execute());
			assertTrue(cut.contains("\"z-0 z-1\"") && cut.contains("\"finish_reason\":\"length\""));
			assertEquals(engine.records().stream().map(CompletionRecord::generatedTokens).toList(), List.of(3, 2));
		}
	}

	@Test
	public void cancelledConnectionStopsTheGeneration() throws IOException {
		EngineSettings settings = new EngineSettings();
		settings.tokenIntervalMs = 1;
		try (EngineStandin engine = EngineStandin.start(settings)) {
			Call call = post(engine.url() + "/v1/chat/completions", chat("answer=9000000", ",\"stream\":true"), "1");
			Response response = call.execute();
			response.body().source().readUtf8Line();
			call.cancel();
			long deadline = System.nanoTime() + 20_000_000_000L;
			while (!engine.records().get(0).cancelled() && System.nanoTime() < deadline) {
				Thread.onSpinWait();
			}
			assertTrue(engine.records().get(0).cancelled());
		}
	}

	@Test
	public void outdatedFencingTokenIsRefused() throws IOException {
		EngineSettings settings = new EngineSettings();
		settings.checkFencing = true;
		try (EngineStandin engine = EngineStandin.start(settings)) {
			String order = "{\"kind\":\"load-model\",\"model\":\"model-b\"}";
			try (Response newer = post(engine.url() + "/v1/engine/orders", order, "2").execute();
					Response older = post(engine.url() + "/v1/chat/completions", chat("x", ""), "1").execute()) {
				assertEquals(List.of(newer.code(), older.code()), List.of(200, 409));
			}
			assertEquals(engine.records().size(), 0);
		}
	}

	// Guards against faults that have no effect when switched on: tests of lost and
	// reordered commands would then pass without testing anything.
	@Test
	public void delayedCommandIsExecutedAfterALaterOneAndALostAnswerIsExecuted() throws Exception {
		try (EngineStandin engine = EngineStandin.start(new EngineSettings())) {
			String url = engine.url() + "/v1/engine/orders";
			String adapter = "{\"kind\":\"load-adapter\",\"model\":\"model-a\",\"adapter\":\"brief\",\"version\":\"%s\"}";
			engine.state().delayNextCommands(1, 2_000);
			post(url, adapter.formatted("1"), "1").enqueue(new AnswerIgnoringCallback());
			awaitDelayedCommandReceived(engine);
			engine.state().loseNextAnswers(1);
			post(url, adapter.formatted("2"), "2").enqueue(new AnswerIgnoringCallback());
			awaitExecuted(engine, 2);
			assertEquals(engine.executedCommands().stream().map(ReceivedCommand::version).toList(), List.of("2", "1"));
			String models = text(
					this.http.newCall(new Request.Builder().url(engine.url() + "/v1/models").build()).execute());
			assertTrue(models.contains("\"parent\":\"model-a\"") && models.contains("\"role\":\"combined\""), models);
		}
	}

	// Guards against a model that is reported as loaded before its load ends.
	@Test
	public void modelIsReportedAsLoadingUntilItsLoadEnds() throws IOException {
		EngineSettings settings = new EngineSettings();
		settings.loadMs = 500_000;
		try (EngineStandin engine = EngineStandin.start(settings)) {
			text(post(engine.url() + "/v1/engine/orders", "{\"kind\":\"load-model\",\"model\":\"model-b\"}", "1")
				.execute());
			assertEquals(engine.state().models().stream().map(EngineState.LoadedModel::status).toList(),
					List.of("loaded", "loading"));
		}
	}

	private static void awaitDelayedCommandReceived(EngineStandin engine) {
		long deadline = System.nanoTime() + 20_000_000_000L;
		while (engine.state().hasCommandsToDelay() && System.nanoTime() < deadline) {
			Thread.onSpinWait();
		}
	}

	private static void awaitExecuted(EngineStandin engine, int count) {
		long deadline = System.nanoTime() + 20_000_000_000L;
		while (engine.executedCommands().size() < count && System.nanoTime() < deadline) {
			Thread.onSpinWait();
		}
	}

	@Test
	public void bookingRecordsEveryCallAndRefusesAPortInUse() throws IOException {
		try (BookingStandin booking = BookingStandin.start(new BookingSettings())) {
			for (int i = 0; i < 2; i++) {
				try (Response response = post(booking.url() + "/bookings", "{}", "1").execute()) {
					assertEquals(response.code(), 201);
				}
			}
			assertEquals(booking.records().stream().map(BookingCall::idempotencyKey).toList(), List.of("key", "key"));
			BookingSettings taken = new BookingSettings();
			taken.port = Integer.parseInt(booking.url().replaceAll(".*:", ""));
			assertThrows(IllegalStateException.class, () -> BookingStandin.start(taken));
		}
	}

	private static final class AnswerIgnoringCallback implements Callback {

		@Override
		public void onFailure(Call call, IOException ex) {
			// Expected: the engine is closed before it answers.
		}

		@Override
		public void onResponse(Call call, Response response) {
			response.close();
		}

	}

}
