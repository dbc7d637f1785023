package io.verbenacleat.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import io.jooby.Context;
import io.jooby.Sender;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.entry.request.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP request and its response. The methods that send or write must be called one at
 * a time; {@link #isCallerGone} is safe for use by several threads.
 */
final class Exchange {

	/** While more is unsent, no more of the response is read from the agent. */
	private static final long MAX_UNSENT_BYTES = 64L * 1024;

	private static final int MILLIS_PER_SECOND = 1_000;

	private final Context context;

	private final String requestId;

	private final GatewayMetrics metrics;

	private final Runnable release;

	private final AtomicBoolean ended = new AtomicBoolean();

	private final AtomicLong unsentBytes = new AtomicLong();

	private volatile CompletableFuture<Void> writable = CompletableFuture.completedFuture(null);

	private volatile boolean callerGone;

	private volatile Runnable callerGoneListener = () -> {
	};

	private @Nullable Sender sender;

	Exchange(Context context, String requestId, GatewayMetrics metrics, Runnable release) {
		this.context = context;
		this.requestId = requestId;
		this.metrics = metrics;
		this.release = release;
		context.setResponseHeader("Verbena-Request-Id", requestId);
		context.onComplete((any) -> end());
	}

	/**
	 * Sets the listener that is called once when the caller has disconnected, or at once
	 * if that was detected before.
	 * @param listener the listener
	 */
	void setCallerGoneListener(Runnable listener) {
		this.callerGoneListener = listener;
		if (this.callerGone) {
			listener.run();
		}
	}

	/**
	 * Returns whether the caller is known to have disconnected.
	 * @return {@code true} if nothing more can be sent
	 */
	boolean isCallerGone() {
		return this.callerGone;
	}

	/**
	 * Returns whether a response in parts was started, so that its status can no longer
	 * be changed.
	 * @return {@code true} after {@link #start}
	 */
	boolean isStarted() {
		return this.sender != null;
	}

	/**
	 * Sends a complete response.
	 * @param status the HTTP status
	 * @param mediaType the media type
	 * @param body the body
	 */
	void send(int status, String mediaType, byte[] body) {
		if (this.callerGone) {
			end();
			return;
		}
		this.context.setResponseCode(status);
		this.context.setResponseType(mediaType);
		this.context.send(body);
	}

	/**
	 * Sends a refusal as the complete response.
	 * @param refusal the refusal
	 */
	void refuse(Refusal refusal) {
		this.metrics.countRefusal(refusal);
		setRetryAfter(refusal);
		send(refusal.code().status(), ProblemDetails.MEDIA_TYPE, bytes(ProblemDetails.of(refusal, this.requestId)));
	}

	/**
	 * Starts a response that is sent in parts.
	 * @param status the HTTP status
	 * @param mediaType the media type
	 */
	void start(int status, String mediaType) {
		this.context.setResponseCode(status);
		this.context.setResponseType(mediaType);
		this.sender = this.context.responseSender();
	}

	/**
	 * Sets a response header.
	 * @param name the name
	 * @param value the value
	 */
	void header(String name, String value) {
		this.context.setResponseHeader(name, value);
	}

	/**
	 * Sends the next part of the response.
	 * @param part the part
	 */
	void write(byte[] part) {
		Sender openSender = this.sender;
		if (openSender == null || this.callerGone) {
			return;
		}
		this.unsentBytes.addAndGet(part.length);
		openSender.write(part, (any, failure) -> {
			if (this.unsentBytes.addAndGet(-part.length) <= MAX_UNSENT_BYTES) {
				this.writable.complete(null);
			}
			if (failure != null) {
				markCallerGone();
			}
		});
	}

	/**
	 * Returns a stage that completes when the next part may be written.
	 * @return completes when the caller has received enough of the response or has
	 * disconnected
	 */
	CompletionStage<Void> ready() {
		CompletableFuture<Void> next = new CompletableFuture<>();
		this.writable = next;
		if (this.unsentBytes.get() <= MAX_UNSENT_BYTES || this.callerGone) {
			next.complete(null);
		}
		return next;
	}

	/**
	 * Ends a response that is sent in parts.
	 */
	void finish() {
		if (this.sender != null) {
			this.sender.close();
		}
		if (this.callerGone) {
			end();
		}
	}

	/**
	 * Ends an event stream with a refusal instead of the normal end.
	 * @param refusal the refusal
	 */
	void finishEventsWith(Refusal refusal) {
		this.metrics.countRefusal(refusal);
		writeEvent(Json.write(ProblemDetails.of(refusal, this.requestId)));
		finish();
	}

	/**
	 * Sends a server-sent event.
	 * @param data the data, a single line
	 */
	void writeEvent(String data) {
		write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Serializes a JSON value.
	 * @param value the value
	 * @return the JSON text in UTF-8
	 */
	static byte[] bytes(JsonNode value) {
		return Json.write(value).getBytes(StandardCharsets.UTF_8);
	}

	private void setRetryAfter(Refusal refusal) {
		if (refusal.retryAfterMs() > 0) {
			long seconds = (refusal.retryAfterMs() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			header("Retry-After", Long.toString(seconds));
		}
	}

	private void markCallerGone() {
		if (!this.callerGone) {
			this.callerGone = true;
			this.metrics.countCallerGone();
			this.callerGoneListener.run();
			this.writable.complete(null);
			end();
		}
	}

	private void end() {
		if (this.ended.compareAndSet(false, true)) {
			this.release.run();
		}
	}

}
