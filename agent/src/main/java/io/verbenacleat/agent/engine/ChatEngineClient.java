package io.verbenacleat.agent.engine;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.backend.BackendTarget;
import io.verbenacleat.agent.order.Backend;
import io.verbenacleat.agent.order.BackendOutcome;
import io.verbenacleat.agent.order.BackendSink;
import io.verbenacleat.agent.order.Cancellation;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.jspecify.annotations.Nullable;

/**
 * Runs chat completions on a model engine: always streams, counts tokens, and stops the
 * engine when the reservation is exceeded. Never sends a request twice. Safe for use by
 * several threads.
 */
public final class ChatEngineClient implements Backend {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final String DONE = "[DONE]";

	private final BackendCalls calls;

	private final BackendTarget target;

	/**
	 * Creates a client.
	 * @param calls makes the HTTP calls
	 * @param target the engine
	 */
	public ChatEngineClient(BackendCalls calls, BackendTarget target) {
		this.calls = calls;
		this.target = target;
	}

	@Override
	public BackendOutcome run(ExecuteRequest order, BackendSink sink, Cancellation cancellation) {
		Request request;
		try {
			request = request(order);
		}
		catch (JsonFormatException | IllegalArgumentException ex) {
			return BackendOutcome.notRun(RefusalReason.INVALID_ORDER, String.valueOf(ex.getMessage()));
		}
		BackendCalls.Attempt attempt = new BackendCalls.Attempt(sink::started);
		Call call = this.calls.newCall(request, attempt);
		cancellation.onCancel(call::cancel);
		TokenCount count = new TokenCount(order);
		try (Response response = call.execute()) {
			if (!response.isSuccessful()) {
				return BackendOutcome.failed("engine_status",
						"the engine answered with status " + response.code() + " and ran nothing");
			}
			BackendOutcome outcome = read(response, count, sink, cancellation);
			call.cancel();
			return count.bill(outcome);
		}
		catch (IOException ex) {
			if (!attempt.connected()) {
				return BackendOutcome.notRun(RefusalReason.BACKEND_UNREACHABLE, "no connection to the engine: " + ex);
			}
			if (cancellation.isCancelled() && !attempt.bodySent()) {
				return BackendOutcome.notRun(RefusalReason.TOMBSTONED,
						"the order was cancelled before the engine had the whole request");
			}
			return count.bill(broken(ex, cancellation));
		}
	}

	private Request request(ExecuteRequest order) throws JsonFormatException {
		byte[] body = ChatBody.bounded(order.getChat().getBodyJson(), order.getChat().getAnswerBoundTokens(),
				order.getPriority());
		return new Request.Builder().url(this.target.url() + "/v1/chat/completions")
			.header("Accept", "text/event-stream")
			.header(BackendTarget.FENCING_HEADER, Long.toString(this.target.fencingToken()))
			.header(BackendTarget.REQUEST_ID_HEADER, order.getRequestId())
			.post(RequestBody.create(body, JSON))
			.build();
	}

	private static BackendOutcome read(Response response, TokenCount count, BackendSink sink, Cancellation cancellation)
			throws IOException {
		ResponseBody body = response.body();
		if (body == null) {
			return BackendOutcome.failed("engine_stream_broken", "the engine sent no body");
		}
		EventReader events = new EventReader(body.source());
		String data = events.next();
		while (data != null && !data.equals(DONE)) {
			BackendOutcome end = take(data, count, sink);
			if (end != null) {
				return end;
			}
			if (cancellation.isCancelled()) {
				return BackendOutcome.ended(ReceiptStatus.CANCELLED);
			}
			data = events.next();
		}
		if (data == null) {
			return BackendOutcome.failed("engine_stream_broken", "the stream ended without [DONE]");
		}
		return BackendOutcome.ended(ReceiptStatus.COMPLETE);
	}

	private static @Nullable BackendOutcome take(String data, TokenCount count, BackendSink sink) {
		JsonNode chunk;
		try {
			chunk = Json.mapper().readTree(data);
		}
		catch (JsonProcessingException ex) {
			return BackendOutcome.failed("engine_chunk_invalid", "the engine sent a chunk that is not JSON");
		}
		if (chunk.hasNonNull("error")) {
			return BackendOutcome.failed("engine_error", "the engine reported an error in the stream");
		}
		count.add(chunk);
		if (count.exceeded()) {
			return BackendOutcome.ended(ReceiptStatus.CUT);
		}
		sink.chatChunk(ByteString.copyFromUtf8(data));
		return null;
	}

	private static BackendOutcome broken(IOException cause, Cancellation cancellation) {
		if (cancellation.isCancelled()) {
			return BackendOutcome.ended(ReceiptStatus.CANCELLED);
		}
		return BackendOutcome.failed("engine_stream_broken", "the connection to the engine broke: " + cause);
	}

}
