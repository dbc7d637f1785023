package io.verbenacleat.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.repeat.SendResult;
import io.verbenacleat.router.repeat.StallPolicy;
import org.jspecify.annotations.Nullable;

/**
 * One send of a request to one backend server. Used on the event loop.
 */
final class ServerAttempt implements ServerExchange {

	private final RelayedRequest request;

	private final ServerState state;

	private final Service service;

	private final Route route;

	private @Nullable ServerConnection connection;

	private final boolean mayHaveRunBefore;

	private boolean sent;

	private boolean finished;

	private long sentAtMs;

	private long progressAtMs;

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
		boolean listed = relay.states().isListed(this.state.server());
		if (!listed || !this.state.takesRequests(relay.nowMs())) {
			relay.connections().release(opened);
			this.finished = true;
			this.request.onAttemptFailed(this, SendResult.NOT_SENT, listed ? "server takes no requests" : "server has left",
					this.mayHaveRunBefore);
			return;
		}
		this.connection = opened;
		this.sentAtMs = relay.nowMs();
		this.progressAtMs = this.sentAtMs;
		this.sent = true;
		this.state.onSend(this.sentAtMs);
		this.request.markSent(this.state);
		opened.send(this, this.request.createServerRequest(this.state, this.route));
		opened.setReading(this.request.isCallerWritable());
	}

	@Override
	public void onConnectFailed(String reason) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		this.state.onConnectFailure(this.request.relay().nowMs());
		this.request.onAttemptFailed(this, SendResult.NOT_SENT, reason, this.mayHaveRunBefore);
	}

	@Override
	public void onHead(HttpResponse response) {
		this.progressAtMs = this.request.relay().nowMs();
		this.state.onBytes(this.progressAtMs);
		this.status = response.status().code();
		this.state.onFirstByte(this.progressAtMs - this.sentAtMs);
		ServerStatusHeaders.apply(this.request.relay(), response, this.state);
		SendResult failure = this.request.failureResult(response);
		if (failure == null) {
			this.request.forwardHead(response);
			return;
		}
		this.finished = true;
		ServerConnection current = this.connection;
		this.connection = null;
		if (current != null) {
			current.discardRest(response);
		}
		long nowMs = this.request.relay().nowMs();
		// A server that leaves or wants a pause is not sick.
		if (failure == SendResult.NOT_RUN && this.state.takesRequests(nowMs)) {
			this.state.onRefusal(nowMs);
		}
		else {
			this.state.onSuccess();
		}
		this.request.onAttemptFailed(this, failure, "server answered " + this.status, this.mayHaveRunBefore);
	}

	@Override
	public void onContent(ByteBuf content) {
		this.state.onBytes(this.request.relay().nowMs());
		int eventsBefore = this.request.response().eventCount();
		if (!this.request.response().write(content)) {
			fail("an event is too long");
			return;
		}
		// Bytes that end no event do not keep a stalled stream alive.
		if (!this.route.kind().isStream() || this.request.response().eventCount() > eventsBefore) {
			this.progressAtMs = this.request.relay().nowMs();
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
		this.finished = true;
		this.state.onSuccess();
		this.request.onResponseComplete(this.state, this.status);
	}

	@Override
	public void onFailed(String reason) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		this.state.onFailure(this.request.relay().nowMs());
		this.request.onAttemptFailed(this, SendResult.UNKNOWN, reason, this.mayHaveRunBefore);
	}

	/**
	 * Gives up on a silent server.
	 * @param reason why
	 */
	void fail(String reason) {
		closeConnection();
		this.finished = true;
		if (this.sent) {
			this.state.onFailure(this.request.relay().nowMs());
		}
		SendResult result = this.sent ? SendResult.UNKNOWN : SendResult.NOT_SENT;
		this.request.onAttemptFailed(this, result, reason, this.mayHaveRunBefore);
	}

	/**
	 * Gives up because the caller is gone or its time is over.
	 */
	void abandon() {
		if (this.finished) {
			return;
		}
		closeConnection();
		this.finished = true;
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
	 * Returns whether the server sends nothing for longer than it should.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} when another server would be faster
	 */
	boolean isStalled(long nowMs) {
		if (!this.sent || this.finished || !this.request.isCallerWritable()) {
			return false;
		}
		return StallPolicy.isStalled(nowMs - this.progressAtMs, this.state.isSilent(nowMs), this.service.modelService(),
				this.route.targetLatencyMs());
	}

	private void closeConnection() {
		ServerConnection current = this.connection;
		this.connection = null;
		if (current != null) {
			current.abandon();
		}
	}

}
