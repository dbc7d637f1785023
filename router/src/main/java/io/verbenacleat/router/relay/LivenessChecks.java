package io.verbenacleat.router.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import io.verbenacleat.router.server.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Finds out whether the process of a backend server runs after one of its connections has
 * ended. Not thread safe; confined to the event loop of the relay.
 * <p>
 * A load report that was requested after the end shows that the incarnation still runs.
 * Servers without load reports, and those that must not be sent requests now, for example
 * in an evacuated zone or while they warm up, have to keep a connection open for
 * {@link #HOLD_MS}: the kernel accepts connections for a process that is ending, and
 * resets them. Anything else confirms nothing.
 */
final class LivenessChecks {

	/** The connections of a process that ends are closed within this time. */
	private static final long HOLD_MS = 50;

	/** Servers respond with a report in a few milliseconds. */
	private static final long REPORT_TIMEOUT_MS = 700;

	/** An idle connection may have reached the idle limit of the server. */
	private static final int MAX_ATTEMPTS = 2;

	private static final int MAX_REPORT_BYTES = 65_536;

	private final Relay relay;

	private final LoadReportFormat reportFormat;

	private final EventLoop loop;

	/** The listeners of the next check of each incarnation that is being checked. */
	private final Map<BackendServer, List<Listener>> waiting = new HashMap<>();

	LivenessChecks(Relay relay, LoadReportFormat reportFormat, EventLoop loop) {
		this.relay = relay;
		this.reportFormat = reportFormat;
		this.loop = loop;
	}

	/**
	 * Checks a server. Checks of one incarnation that are requested while another is in
	 * progress share the next one, since a check shows nothing about a later end.
	 * @param state the server
	 * @param service its service
	 * @param listener receives the result, during this call or later
	 */
	void check(ServerState state, Service service, Listener listener) {
		BackendServer key = state.server().incarnationKey();
		List<Listener> next = this.waiting.get(key);
		if (next != null) {
			next.add(listener);
			return;
		}
		this.waiting.put(key, new ArrayList<>());
		start(state, service, List.of(listener));
	}

	private void start(ServerState state, Service service, List<Listener> listeners) {
		long nowMs = this.relay.nowMs();
		boolean mayAsk = service.modelService() && !state.isLimited() && !state.isWarmingUp(nowMs)
				&& state.remainingPauseMs(nowMs) == 0 && !this.relay.states().isEvacuated(state.server());
		Listener each = (running, evidence) -> {
			try {
				listeners.forEach((listener) -> listener.onResult(running, evidence));
			}
			finally {
				startNext(state, service);
			}
		};
		if (mayAsk) {
			new ReportCheck(state, service, each).send();
		}
		else {
			holdConnection(state.server(), each);
		}
	}

	private void startNext(ServerState state, Service service) {
		BackendServer key = state.server().incarnationKey();
		List<Listener> next = this.waiting.remove(key);
		if (next != null && !next.isEmpty()) {
			this.waiting.put(key, new ArrayList<>());
			start(state, service, next);
		}
	}

	// A connection from before the end belongs to the same process.
	private void holdConnection(BackendServer server, Listener listener) {
		Channel idle = this.relay.connections().idleChannel(server);
		if (idle != null) {
			this.loop.schedule(() -> {
				if (idle.isActive()) {
					listener.onResult(true, "idle_connection_kept");
				}
				else {
					holdNewConnection(server, listener);
				}
			}, HOLD_MS, TimeUnit.MILLISECONDS);
			return;
		}
		holdNewConnection(server, listener);
	}

	private void holdNewConnection(BackendServer server, Listener listener) {
		this.relay.connections().probe(server, (result, channel) -> {
			if (result != ServerConnections.ProbeResult.ACCEPTED) {
				String evidence = switch (result) {
					case REFUSED -> "refused";
					case RESET -> "new_connection_reset";
					default -> "unreachable";
				};
				listener.onResult(false, evidence);
				return;
			}
			channel.pipeline().addLast(new CloseOnReset());
			this.loop.schedule(() -> {
				boolean kept = channel.isActive();
				channel.close();
				listener.onResult(kept, kept ? "new_connection_kept" : "new_connection_closed");
			}, HOLD_MS, TimeUnit.MILLISECONDS);
		});
	}

	/**
	 * Receives the result of a check on the event loop.
	 */
	interface Listener {

		/**
		 * Called once with the result.
		 * @param running whether the incarnation certainly still runs
		 * @param evidence what was found, for logs
		 */
		void onResult(boolean running, String evidence);

	}

	/**
	 * A reset is the answer of a process that ends; the check sees the closed channel.
	 */
	private static final class CloseOnReset extends ChannelInboundHandlerAdapter {

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

	/**
	 * One request for the load report of a server.
	 */
	private final class ReportCheck implements ServerExchange {

		private final ServerState state;

		private final Service service;

		private final Listener listener;

		private final ByteBuf body = Unpooled.buffer();

		private @Nullable ServerConnection connection;

		private int attempts;

		private long sentAtMs;

		private boolean successful;

		private boolean finished;

		private ReportCheck(ServerState state, Service service, Listener listener) {
			this.state = state;
			this.service = service;
			this.listener = listener;
			LivenessChecks.this.loop.schedule(this::onTimeout, REPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}

		private void send() {
			this.attempts++;
			LivenessChecks.this.relay.connections().acquire(this.state.server(), this.service.maxConnections(), this);
		}

		@Override
		public String requestId() {
			return "";
		}

		@Override
		public void onConnected(ServerConnection opened) {
			Relay owner = LivenessChecks.this.relay;
			if (this.finished) {
				owner.connections().release(opened);
				return;
			}
			if (owner.states().isEvacuated(this.state.server()) || this.state.isWarmingUp(owner.nowMs())) {
				this.finished = true;
				owner.connections().release(opened);
				holdConnection(this.state.server(), this.listener);
				return;
			}
			this.connection = opened;
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
					LivenessChecks.this.reportFormat.path());
			request.headers().set(HttpHeaderNames.HOST, this.state.server().host());
			this.sentAtMs = owner.nowMs();
			owner.metrics().loadPolled();
			opened.send(this, request);
		}

		@Override
		public void onConnectFailed(String reason) {
			finish(false, "connection_failed");
		}

		@Override
		public void onHead(HttpResponse response) {
			ServerStatusHeaders.apply(LivenessChecks.this.relay, response, this.state, this.sentAtMs,
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
				finish(false, "no_report");
				return;
			}
			OptionalLong startedAtMs = LivenessChecks.this.reportFormat.parseStartTimeMs(bytes);
			long expectedMs = this.state.server().startedAtMs();
			boolean sameStart = startedAtMs.isEmpty() || startedAtMs.getAsLong() == expectedMs;
			finish(sameStart, sameStart ? "report" : "restarted");
		}

		@Override
		public void onFailed(String reason) {
			finish(false, "report_failed");
		}

		@Override
		public void onClosed(String reason) {
			if (!this.finished && this.attempts < MAX_ATTEMPTS) {
				this.body.clear();
				send();
				return;
			}
			finish(false, "report_closed");
		}

		private void onTimeout() {
			if (!this.finished) {
				ServerConnection current = this.connection;
				if (current != null) {
					LivenessChecks.this.relay.connections().closeSilent(this.state.server(), current, this.sentAtMs);
					current.abandon();
				}
				finish(false, "timeout");
			}
		}

		private void finish(boolean running, String evidence) {
			if (!this.finished) {
				this.finished = true;
				this.listener.onResult(running, evidence);
			}
		}

	}

}
