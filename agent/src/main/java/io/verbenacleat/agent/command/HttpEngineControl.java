package io.verbenacleat.agent.command;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.backend.BackendTarget;
import io.verbenacleat.core.json.Json;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.jspecify.annotations.Nullable;

/**
 * Controls an engine over HTTP: reads its state from {@code /v1/models} and sends
 * commands to {@code /v1/engine/orders}, as specified by the platform protocol. Safe for
 * use by several threads.
 */
public final class HttpEngineControl implements EngineControl {

	/** An engine accepts a command before it starts to load, so it responds at once. */
	private static final int CALL_TIMEOUT_SECONDS = 5;

	private static final int HTTP_CONFLICT = 409;

	private static final MediaType JSON = MediaType.get("application/json");

	private final BackendCalls calls;

	private final BackendTarget target;

	/**
	 * Creates a control interface.
	 * @param calls the HTTP client
	 * @param target the base URL and fencing token for the engine
	 */
	public HttpEngineControl(BackendCalls calls, BackendTarget target) {
		this.calls = calls;
		this.target = target;
	}

	@Override
	public CompletableFuture<EngineState> readState() {
		CompletableFuture<EngineState> result = new CompletableFuture<>();
		Request request = new Request.Builder().url(this.target.url() + "/v1/models").build();
		enqueue(request, new BackendCalls.Attempt(HttpEngineControl::ignoreConnected), new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				result.completeExceptionally(ex);
			}

			@Override
			public void onResponse(Call call, Response response) {
				try (response) {
					result.complete(parseState(response));
				}
				catch (IOException ex) {
					result.completeExceptionally(ex);
				}
			}

		});
		return result;
	}

	@Override
	public CompletableFuture<CommandOutcome> send(EngineCommand command) {
		CompletableFuture<CommandOutcome> result = new CompletableFuture<>();
		Request request = new Request.Builder().url(this.target.url() + "/v1/engine/orders")
			.header(BackendTarget.FENCING_HEADER, Long.toString(this.target.fencingToken()))
			.post(RequestBody.create(Json.write(command), JSON))
			.build();
		BackendCalls.Attempt attempt = new BackendCalls.Attempt(HttpEngineControl::ignoreConnected);
		enqueue(request, attempt, new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				result.complete((attempt.connected()) ? CommandOutcome.UNKNOWN : CommandOutcome.NOT_SENT);
			}

			@Override
			public void onResponse(Call call, Response response) {
				try (response) {
					result.complete(toOutcome(response));
				}
			}

		});
		return result;
	}

	private void enqueue(Request request, BackendCalls.Attempt attempt, Callback callback) {
		Call call = this.calls.newCall(request, attempt);
		call.timeout().timeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		call.enqueue(callback);
	}

	private static CommandOutcome toOutcome(Response response) {
		if (response.isSuccessful()) {
			return CommandOutcome.ACCEPTED;
		}
		return (response.code() == HTTP_CONFLICT) ? CommandOutcome.FENCED : CommandOutcome.REFUSED;
	}

	private static EngineState parseState(Response response) throws IOException {
		ResponseBody body = response.body();
		if (!response.isSuccessful() || body == null) {
			throw new IOException("Engine responded with status " + response.code());
		}
		JsonNode root = Json.mapper().readTree(body.string());
		if (!root.path("data").isArray()) {
			throw new IOException("Engine response contains no list of models");
		}
		Map<String, EngineState.LoadedModel> models = new HashMap<>();
		for (JsonNode model : root.path("data")) {
			models.put(model.path("id").asText(), new EngineState.LoadedModel(optionalText(model, "parent"),
					optionalText(model, "version"), "loading".equals(optionalText(model, "status"))));
		}
		return new EngineState(models, optionalText(root, "role"));
	}

	private static @Nullable String optionalText(JsonNode node, String name) {
		return (node.hasNonNull(name)) ? node.path(name).asText() : null;
	}

	private static void ignoreConnected() {
		// The reconciler does not need the time of the connection.
	}

}
