package io.verbenacleat.router.relay;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.verbenacleat.router.LoadReportFormat;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.config.Service;
import org.jspecify.annotations.Nullable;

/**
 * One request for the load report of a server, which shows whether an incarnation runs.
 * Not thread safe; confined to the event loop of the relay.
 */
final class ReportCheck implements ServerExchange {

	/** Servers respond with a report in a few milliseconds. */
	static final long TIMEOUT_MS = 700;

	/** An idle connection may have reached the idle limit of the server. */
	private static final int MAX_ATTEMPTS = 2;

	private static final int MAX_REPORT_BYTES = 65_536;

	private final Relay relay;

	private final LoadReportFormat reportFormat;

	private final ServerState state;

	private final Service service;

	private final Runnable onNotAllowed;

	private final Listener listener;

	private final ByteBuf body = Unpooled.buffer();

	private @Nullable ServerConnection connection;

	private int attempts;

	private long sentAtMs;

	private boolean successful;

	private boolean finished;

	/**
	 * Creates a check.
	 * @param relay provides the connections
	 * @param reportFormat the path and format of load reports
	 * @param loop the event loop of the relay
	 * @param state the server
	 * @param service its service
	 * @param onNotAllowed called in place of the listener if the server must not be sent
	 * the request any more
	 * @param listener receives the result
	 */
	ReportCheck(Relay relay, LoadReportFormat reportFormat, EventLoop loop, ServerState state, Service service,
			Runnable onNotAllowed, Listener listener) {
		this.relay = relay;
		this.reportFormat = reportFormat;
		this.state = state;
		this.service = service;
		this.onNotAllowed = onNotAllowed;
		this.listener = listener;
		loop.schedule(this::onTimeout, TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends the request on an idle connection or a new one.
	 */
	void send() {
		this.attempts++;
		this.relay.connections().acquire(this.state.server(), this.service.maxConnections(), this);
	}

	@Override
	public String requestId() {
		return "";
	}

	@Override
	public void onConnected(ServerConnection opened) {
		if (this.finished) {
			this.relay.connections().release(opened);
			return;
		}
		if (this.relay.states().isEvacuated(this.state.server()) || this.state.isWarmingUp(this.relay.nowMs())) {
			this.finished = true;
			this.relay.connections().release(opened);
			this.onNotAllowed.run();
			return;
		}
		this.connection = opened;
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
				this.reportFormat.path());
		request.headers().set(HttpHeaderNames.HOST, this.state.server().host());
		this.sentAtMs = this.relay.nowMs();
		this.relay.metrics().loadPolled();
		opened.send(this, request);
	}

	@Override
	public void onConnectFailed(String reason) {
		finish(LivenessCheck.Result.UNKNOWN, "connection_failed");
	}

	@Override
	public void onConnectFailed(ServerConnections.ProbeResult result, String reason) {
		switch (result) {
			case REFUSED -> finish(LivenessCheck.Result.UNKNOWN, "refused");
			case RESET -> finish(LivenessCheck.Result.RESET, "new_connection_reset");
			default -> finish(LivenessCheck.Result.UNKNOWN, "unreachable");
		}
	}

	@Override
	public void onHead(HttpResponse response) {
		ServerStatusHeaders.apply(this.relay, response, this.state, this.sentAtMs,
				ServerStatusHeaders.Source.LOAD_POLL);
		this.successful = response.status().equals(HttpResponseStatus.OK);
	}

	@Override
	public void onContent(ByteBuf content) {
		if (this.body.readableBytes() + content.readableBytes() <= MAX_REPORT_BYTES) {
			this.body.writeBytes(content);
		}
	}

	@Override
	public void onReadComplete() {
	}

	@Override
	public void onComplete() {
		byte[] bytes = new byte[this.body.readableBytes()];
		this.body.readBytes(bytes);
		if (!this.successful) {
			finish(LivenessCheck.Result.UNKNOWN, "no_report");
			return;
		}
		OptionalLong startedAtMs = this.reportFormat.parseStartTimeMs(bytes);
		long expectedMs = this.state.server().startedAtMs();
		boolean sameStart = startedAtMs.isEmpty() || startedAtMs.getAsLong() == expectedMs;
		finish(sameStart ? LivenessCheck.Result.RUNNING : LivenessCheck.Result.REPLACED,
				sameStart ? "report" : "restarted");
	}

	@Override
	public void onFailed(String reason) {
		finish(LivenessCheck.Result.UNKNOWN, "report_failed");
	}

	@Override
	public void onClosed(String reason) {
		if (!this.finished && this.attempts < MAX_ATTEMPTS) {
			this.body.clear();
			send();
			return;
		}
		finish(LivenessCheck.Result.RESET, "report_closed");
	}

	private void onTimeout() {
		if (!this.finished) {
			ServerConnection current = this.connection;
			if (current != null) {
				this.relay.connections().closeSilent(this.state.server(), current, this.sentAtMs);
				current.abandon();
			}
			finish(LivenessCheck.Result.UNKNOWN, "timeout");
		}
	}

	private void finish(LivenessCheck.Result result, String evidence) {
		if (!this.finished) {
			this.finished = true;
			this.listener.onResult(result, evidence);
		}
	}

	/**
	 * Receives the result of a check on the event loop.
	 */
	interface Listener {

		/**
		 * Called once with the result.
		 * @param result what the report shows
		 * @param evidence what was found, for logs
		 */
		void onResult(LivenessCheck.Result result, String evidence);

	}

}
