package io.verbenacleat.router.relay;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.verbenacleat.router.balance.ServerLoadModel;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.config.RequestKind;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.repeat.SendFailure;
import io.verbenacleat.router.repeat.StallPolicy;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to send a request to a backend server and to forward its response. Reports
 * the outcome to the request and to the state of the server. Not thread safe; confined to
 * the event loop of the relay.
 */
final class ServerAttempt implements ServerExchange {

	/**
	 * A request ends a server when the server begins to write the response. One whose
	 * content was being written for longer than this did not.
	 */
	private static final long BEGINNING_MS = 1_000;

	private final RelayedRequest request;

	private final ServerState state;

	private final Service service;

	private final Route route;

	private @Nullable ServerConnection connection;

	private final boolean mayHaveRunBefore;

	private boolean sent;

	private ServerLoadModel.@Nullable Send load;

	private boolean finished;

	/** Whether another request used the permit for the server that warms up. */
	private boolean lacksPermit;

	private long sentAtMs;

	private long progressAtMs;

	/** When the first content or, of a stream, the first event was received. */
	private long contentAtMs = -1;

	private long begunNanos;

	private boolean success;

	/** Whether the end of the response does not depend on the end of its connection. */
	private boolean delimited;

	/** The response, once it has ended with its connection and has no length. */
	private @Nullable EndedResponse ended;

	private long endedAtMs;

	private int status;

	ServerAttempt(RelayedRequest request, ServerState state, Service service, Route route) {
		this.request = request;
		this.state = state;
		this.service = service;
		this.route = route;
		this.mayHaveRunBefore = request.mayHaveRun();
	}

	String serverId() {
		return this.state.server().id();
	}

	/**
	 * Returns whether the request was not sent because another one used the permit. The
	 * server can be selected again when there is a permit.
	 * @return {@code false} if it was sent, or not sent for another reason
	 */
	boolean lacksPermit() {
		return this.lacksPermit;
	}

	@Override
	public String requestId() {
		return this.request.requestId();
	}

	@Override
	public void onConnected(ServerConnection opened) {
		if (this.finished) {
			this.request.relay().connections().release(opened);
			return;
		}
		Relay relay = this.request.relay();
		boolean warmingUp = this.state.isWarmingUp(relay.nowMs());
		String obstacle = findObstacle();
		if (obstacle != null) {
			relay.connections().release(opened);
			this.finished = true;
			this.request.onAttemptFailed(this, SendFailure.NOT_SENT, obstacle, this.mayHaveRunBefore);
			return;
		}
		this.connection = opened;
		this.sentAtMs = relay.nowMs();
		this.progressAtMs = this.sentAtMs;
		this.sent = true;
		this.state.onSend(this.sentAtMs);
		this.load = this.state.model().onSend(this.request.describe(), this.sentAtMs);
		if (warmingUp) {
			relay.metrics().sentInWarmUp();
		}
		this.request.markSent(this.state);
		opened.send(this, this.request.createServerRequest(this.state, this.route));
		opened.setReading(this.request.isCallerWritable());
	}

	// The list of servers may have changed while the connection was opened.
	private @Nullable String findObstacle() {
		Relay relay = this.request.relay();
		if (!relay.states().isListed(this.state.server())) {
			return "server is not registered";
		}
		if (relay.states().isEvacuated(this.state.server())) {
			return "zone of the server is evacuated";
		}
		if (this.state.takePermit(relay.nowMs())) {
			return null;
		}
		this.lacksPermit = this.state.isWarmingUp(relay.nowMs());
		return "server does not accept requests";
	}

	@Override
	public void onConnectFailed(String reason) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		this.state.onConnectFailure(this.request.relay().nowMs());
		this.request.onAttemptFailed(this, SendFailure.NOT_SENT, reason, this.mayHaveRunBefore);
	}

	@Override
	public void onHead(HttpResponse response) {
		this.progressAtMs = this.request.relay().nowMs();
		this.state.onBytes(this.progressAtMs);
		this.begunNanos = this.request.relay().quarantine().nanoTime();
		this.success = response.status().codeClass() == HttpStatusClass.SUCCESS;
		this.delimited = ServerConnection.isDelimited(response, this.request.method());
		this.status = response.status().code();
		this.state.onFirstByte(this.progressAtMs - this.sentAtMs);
		ServerStatusHeaders.apply(this.request.relay(), response, this.state, this.sentAtMs,
				ServerStatusHeaders.Source.REQUEST);
		SendFailure failure = this.request.failureResult(response);
		if (failure == null) {
			this.request.forwardHead(response);
			return;
		}
		finish();
		ServerConnection current = this.connection;
		this.connection = null;
		if (current != null) {
			current.discardRest(response);
		}
		long nowMs = this.request.relay().nowMs();
		// A rejection by a server that leaves or pauses is not counted against it.
		if (failure == SendFailure.NOT_RUN && this.state.acceptsRequests(nowMs)) {
			this.state.onRefusal(nowMs);
		}
		else {
			this.state.onSuccess();
		}
		this.request.onAttemptFailed(this, failure, "server responded with status " + this.status,
				this.mayHaveRunBefore);
	}

	@Override
	public void onContent(ByteBuf content) {
		this.state.onBytes(this.request.relay().nowMs());
		int eventsBefore = this.request.response().eventCount();
		if (!this.request.response().write(content)) {
			fail("event is too long or contains another response");
			return;
		}
		// Bytes that complete no event don't count as progress of a stream.
		if (!this.route.kind().isStream() || this.request.response().eventCount() > eventsBefore) {
			this.progressAtMs = this.request.relay().nowMs();
			if (this.contentAtMs < 0) {
				this.contentAtMs = this.progressAtMs;
				recordFirstEvent();
			}
		}
	}

	@Override
	public void onReadComplete() {
		if (!this.finished) {
			this.request.flush();
		}
	}

	@Override
	public void onComplete() {
		if (this.finished) {
			return;
		}
		if (this.delimited) {
			complete();
			return;
		}
		if (this.success && this.route.kind().isStream() && !this.request.response().endsWithEvent()) {
			this.endedAtMs = this.request.relay().nowMs();
			logEnd("none");
			onClosed("stream ended inside an event");
			return;
		}
		// The end of a process ends a response without length, too.
		Relay relay = this.request.relay();
		this.endedAtMs = relay.nowMs();
		EndedResponse response = new EndedResponse(this.sentAtMs, this.endedAtMs, this::onChecked);
		this.ended = response;
		relay.livenessChecks().check(this.state, this.service, response, maxCheckMs());
	}

	// A caller that may repeat the request gets enough time to do so.
	private long maxCheckMs() {
		long remainingMs = Math.max(0, this.request.remainingMs());
		boolean repeatable = this.route.kind() == RequestKind.IDEMPOTENT
				|| this.route.kind() == RequestKind.RESUMABLE_STREAM;
		return repeatable ? Math.min(remainingMs, Math.max(ReportCheck.TIMEOUT_MS, remainingMs / 2)) : remainingMs;
	}

	private void onChecked(boolean running, String evidence) {
		if (this.finished) {
			return;
		}
		logEnd(evidence);
		if (running) {
			complete();
		}
		else {
			onClosed("response without length may be cut");
		}
	}

	private void logEnd(String check) {
		Relay relay = this.request.relay();
		relay.metrics().undelimitedEnded(check);
		relay.log()
			.event("response.connection_ended")
			.with("request", this.request.requestId())
			.with("server", this.state.server().id())
			.with("status", this.status)
			.with("events", this.request.response().eventCount())
			.with("server_leaving", this.state.isLeaving() || this.state.server().draining())
			.with("open_connections", relay.connections().countOpenSince(this.state.server(), this.sentAtMs))
			.with("check", check)
			.with("held_ms", relay.nowMs() - this.endedAtMs)
			.emit();
	}

	private void complete() {
		finish();
		this.state.onSuccess();
		if (this.success) {
			this.request.relay().quarantine().onAnswered(this.request.parts(), this.begunNanos);
		}
		this.request.onResponseComplete(this.state, this.status);
	}

	@Override
	public void onFailed(String reason) {
		if (this.finished) {
			return;
		}
		finish();
		this.state.onFailure(this.request.relay().nowMs());
		this.request.onAttemptFailed(this, SendFailure.UNKNOWN, reason, this.mayHaveRunBefore);
	}

	@Override
	public void onClosed(String reason) {
		if (this.finished) {
			return;
		}
		finish();
		Relay relay = this.request.relay();
		long nowMs = relay.nowMs();
		this.state.onFailure(nowMs);
		boolean mayBeCause = this.contentAtMs < 0 || nowMs - this.contentAtMs <= BEGINNING_MS;
		List<String> suspects = mayBeCause ? this.request.parts() : List.of();
		boolean proven = relay.quarantine().isProven(suspects);
		relay.crashes().onClosed(this.state, suspects, nowMs, (crashed) -> {
			if (!proven) {
				this.request.onAttemptFailed(this, crashed ? SendFailure.CRASHED : SendFailure.UNKNOWN, reason,
						this.mayHaveRunBefore);
			}
		});
		if (proven) {
			this.request.onAttemptFailed(this, SendFailure.UNKNOWN, reason, this.mayHaveRunBefore);
		}
	}

	/**
	 * Closes the connection and reports a failure of the server.
	 * @param reason the reason, for logs
	 */
	void fail(String reason) {
		closeConnection();
		finish();
		if (this.sent) {
			this.state.onFailure(this.request.relay().nowMs());
		}
		SendFailure result = this.sent ? SendFailure.UNKNOWN : SendFailure.NOT_SENT;
		this.request.onAttemptFailed(this, result, reason, this.mayHaveRunBefore);
	}

	/**
	 * Closes the connection because the caller disconnected or the deadline passed. This
	 * is not counted as a failure of the server.
	 */
	void abandon() {
		if (this.finished) {
			return;
		}
		EndedResponse unchecked = this.ended;
		if (unchecked != null) {
			unchecked.cancel();
		}
		closeConnection();
		finish();
		if (this.sent) {
			this.state.onAbandoned();
		}
	}

	void setReading(boolean reading) {
		ServerConnection current = this.connection;
		if (current != null && !this.finished) {
			current.setReading(reading);
		}
	}

	/**
	 * Returns whether the response made no progress for longer than {@link StallPolicy}
	 * allows. An attempt is never stalled while the caller reads too slowly.
	 * @param nowMs the monotonic time in milliseconds
	 * @return {@code true} if another server should be tried
	 */
	boolean isStalled(long nowMs) {
		if (!this.sent || this.finished || this.ended != null || !this.request.isCallerWritable()) {
			return false;
		}
		return StallPolicy.isStalled(nowMs - this.progressAtMs, this.state.isSilent(nowMs), this.service.modelService(),
				this.route.targetLatencyMs());
	}

	/**
	 * Closes the kept connections that may be silent like the one of this attempt, if the
	 * server has sent nothing for some time.
	 * @param nowMs the monotonic time in milliseconds
	 */
	void checkSilence(long nowMs) {
		ServerConnection current = this.connection;
		if (current == null || this.finished || this.status != 0 || !this.state.isSilent(nowMs)) {
			return;
		}
		int closed = this.request.relay().connections().closeSilent(this.state.server(), current, this.sentAtMs);
		if (closed > 0) {
			this.request.relay()
				.log()
				.event("server.connections_silent")
				.with("server", this.state.server().id())
				.with("silent_ms", nowMs - this.sentAtMs)
				.with("closed", closed)
				.emit();
		}
	}

	private void recordFirstEvent() {
		ServerLoadModel.Send sentRequest = this.load;
		if (this.success && this.service.modelService() && sentRequest != null
				&& sentRequest.onFirstEvent(this.contentAtMs)) {
			this.request.relay().metrics().firstEvent(sentRequest.expectedMs(), this.contentAtMs - this.sentAtMs);
		}
	}

	private void finish() {
		this.finished = true;
		ServerLoadModel.Send sentRequest = this.load;
		if (sentRequest != null) {
			sentRequest.onEnd(this.request.relay().nowMs(), this.request.response().eventCount());
		}
	}

	private void closeConnection() {
		ServerConnection current = this.connection;
		this.connection = null;
		if (current != null) {
			current.abandon();
		}
	}

}
