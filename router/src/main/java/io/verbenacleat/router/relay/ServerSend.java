package io.verbenacleat.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.repeat.SendFailure;
import io.verbenacleat.router.repeat.StallPolicy;
import org.jspecify.annotations.Nullable;

/**
 * One send of a request to one backend server. Used on the event loop.
 */
final class ServerSend implements ServerExchange {

	private final RequestRun run;

	private final ServerState state;

	private final Service service;

	private final Route route;

	private @Nullable ServerConnection connection;

	private final boolean ranBefore;

	private boolean counted;

	private boolean over;

	private long sentAtMs;

	private long progressAtMs;

	private int status;

	ServerSend(RequestRun run, ServerState state, Service service, Route route) {
		this.run = run;
		this.state = state;
		this.service = service;
		this.route = route;
		this.ranBefore = run.mayHaveRun();
	}

	String serverId() {
		return this.state.server().id();
	}

	@Override
	public String requestId() {
		return this.run.requestId();
	}

	@Override
	public void onConnected(ServerConnection opened) {
		if (this.over) {
			this.run.relay().connections().release(opened);
			return;
		}
		Relay relay = this.run.relay();
		boolean listed = relay.states().isListed(this.state.server());
		if (!listed || !this.state.acceptsRequests(relay.nowMs())) {
			relay.connections().release(opened);
			this.over = true;
			this.run.onSendFailed(this, SendFailure.NOT_SENT, listed ? "server takes no requests" : "server has left",
					this.ranBefore);
			return;
		}
		this.connection = opened;
		this.sentAtMs = relay.nowMs();
		this.progressAtMs = this.sentAtMs;
		this.counted = true;
		this.state.onSend(this.sentAtMs);
		this.run.markSent(this.state);
		opened.send(this, this.run.requestFor(this.state, this.route));
		opened.setReading(this.run.isCallerWritable());
	}

	@Override
	public void onNotConnected(String reason) {
		if (this.over) {
			return;
		}
		this.over = true;
		this.state.onConnectFailure(this.run.relay().nowMs());
		this.run.onSendFailed(this, SendFailure.NOT_SENT, reason, this.ranBefore);
	}

	@Override
	public void onHead(HttpResponse response) {
		this.progressAtMs = this.run.relay().nowMs();
		this.state.onBytes(this.progressAtMs);
		this.status = response.status().code();
		this.state.onFirstByte(this.progressAtMs - this.sentAtMs);
		ServerNotice.apply(this.run.relay(), response, this.state);
		SendFailure failure = this.run.judge(response);
		if (failure == null) {
			this.run.forwardHead(response);
			return;
		}
		this.over = true;
		ServerConnection current = this.connection;
		this.connection = null;
		if (current != null) {
			current.discardRest(response);
		}
		long nowMs = this.run.relay().nowMs();
		// A server that leaves or wants a pause is not sick.
		if (failure == SendFailure.NOT_RUN && this.state.acceptsRequests(nowMs)) {
			this.state.onRefusal(nowMs);
		}
		else {
			this.state.onSuccess();
		}
		this.run.onSendFailed(this, failure, "server answered " + this.status, this.ranBefore);
	}

	@Override
	public void onContent(ByteBuf content) {
		this.state.onBytes(this.run.relay().nowMs());
		int eventsBefore = this.run.answer().events();
		if (!this.run.answer().write(content)) {
			fail("an event is too long");
			return;
		}
		// Bytes that end no event do not keep a stalled stream alive.
		if (!this.route.kind().isStream() || this.run.answer().events() > eventsBefore) {
			this.progressAtMs = this.run.relay().nowMs();
		}
	}

	@Override
	public void onReadComplete() {
		if (!this.over) {
			this.run.flush();
		}
	}

	@Override
	public void onEnd() {
		this.over = true;
		this.state.onSuccess();
		this.run.onAnswerEnd(this.state, this.status);
	}

	@Override
	public void onBroken(String reason) {
		if (this.over) {
			return;
		}
		this.over = true;
		this.state.onFailure(this.run.relay().nowMs());
		this.run.onSendFailed(this, SendFailure.UNKNOWN, reason, this.ranBefore);
	}

	/**
	 * Gives up on a silent server.
	 * @param reason why
	 */
	void fail(String reason) {
		closeConnection();
		this.over = true;
		if (this.counted) {
			this.state.onFailure(this.run.relay().nowMs());
		}
		SendFailure result = this.counted ? SendFailure.UNKNOWN : SendFailure.NOT_SENT;
		this.run.onSendFailed(this, result, reason, this.ranBefore);
	}

	/**
	 * Gives up because the caller is gone or its time is over.
	 */
	void abandon() {
		if (this.over) {
			return;
		}
		closeConnection();
		this.over = true;
		if (this.counted) {
			this.state.onAbandoned();
		}
	}

	void setReading(boolean reading) {
		ServerConnection current = this.connection;
		if (current != null && !this.over) {
			current.setReading(reading);
		}
	}

	/**
	 * Returns whether the server sends nothing for longer than it should.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} when another server would be faster
	 */
	boolean isStalled(long nowMs) {
		if (!this.counted || this.over || !this.run.isCallerWritable()) {
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
