package io.verbenacleat.router.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
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
import io.netty.util.concurrent.ScheduledFuture;
import io.verbenacleat.router.LoadReportFormat;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import org.jspecify.annotations.Nullable;

/**
 * Polls the backend servers of model services for their load, in rounds of one second.
 * {@link LoadPollSchedule} decides which servers a round includes. Not thread safe;
 * confined to the event loop of the relay.
 */
public final class LoadPoller implements AutoCloseable {

	private static final long ROUND_INTERVAL_MS = 1_000;

	/** Servers update their report every 200 ms and respond in a few milliseconds. */
	private static final long TIMEOUT_MS = 700;

	/** More than the rounds that a fleet of any size needs to poll each server once. */
	private static final int MAX_START_ROUND = 1_000;

	private static final int MAX_REPORT_BYTES = 65_536;

	private final Relay relay;

	private final LoadReportFormat reportFormat;

	private final EventLoop loop;

	private final ScheduledFuture<?> roundTimer;

	/** The servers that are being polled. */
	private final Set<ServerState> polled = new HashSet<>();

	/**
	 * Starts at a random number, so that routers that start together don't poll the same
	 * servers in each round.
	 */
	private long round = ThreadLocalRandom.current().nextInt(MAX_START_ROUND);

	/**
	 * Creates a poller and starts its first round after one second.
	 * @param relay provides the servers and their connections
	 * @param reports the path and format of load reports
	 * @param loop the event loop of the relay
	 */
	public LoadPoller(Relay relay, LoadReportFormat reports, EventLoop loop) {
		this.relay = relay;
		this.reportFormat = reports;
		this.loop = loop;
		this.roundTimer = loop.scheduleAtFixedRate(this::startRound, ROUND_INTERVAL_MS, ROUND_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.roundTimer.cancel(false);
	}

	private void startRound() {
		RoutingTable table = this.relay.table();
		if (table == null) {
			return;
		}
		this.round++;
		for (ServerState state : new ArrayList<>(this.relay.states().all())) {
			Service service = table.service(state.server().service());
			if (service != null && service.modelService() && !state.server().draining()
					&& LoadPollSchedule.isDue(state.server().id(), this.round, this.relay.routerCount())) {
				long delayMs = ThreadLocalRandom.current().nextLong(ROUND_INTERVAL_MS / 2);
				this.loop.schedule(() -> poll(state, service), delayMs, TimeUnit.MILLISECONDS);
			}
		}
	}

	private void poll(ServerState state, Service service) {
		// A poll that is still in progress may be on a silent connection like all others
		// that
		// are kept.
		if (this.relay.states().isListed(state.server()) && acceptsPolls(state) && this.polled.add(state)) {
			Poll poll = new Poll(state);
			this.relay.connections().acquire(state.server(), service.maxConnections(), poll);
			this.loop.schedule(poll::onTimeout, TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
	}

	private boolean acceptsPolls(ServerState state) {
		return state.acceptsPolls(this.relay.nowMs()) && !this.relay.states().isEvacuated(state.server());
	}

	/**
	 * One request for the load of one server.
	 */
	private final class Poll implements ServerExchange {

		private final ServerState state;

		private final ByteBuf body = Unpooled.buffer();

		private @Nullable ServerConnection connection;

		private long sentAtMs;

		private boolean finished;

		private boolean successful;

		private Poll(ServerState state) {
			this.state = state;
		}

		@Override
		public String requestId() {
			return "";
		}

		@Override
		public void onConnected(ServerConnection opened) {
			if (this.finished) {
				LoadPoller.this.relay.connections().release(opened);
				return;
			}
			if (!acceptsPolls(this.state)) {
				finish();
				LoadPoller.this.relay.connections().release(opened);
				return;
			}
			this.connection = opened;
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
					LoadPoller.this.reportFormat.path());
			request.headers().set(HttpHeaderNames.HOST, this.state.server().host());
			this.sentAtMs = LoadPoller.this.relay.nowMs();
			LoadPoller.this.relay.metrics().loadPolled();
			opened.send(this, request);
		}

		@Override
		public void onConnectFailed(String reason) {
			fail();
		}

		@Override
		public void onHead(HttpResponse response) {
			ServerStatusHeaders.apply(LoadPoller.this.relay, response, this.state, this.sentAtMs,
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
			if (this.finished) {
				return;
			}
			finish();
			byte[] bytes = new byte[this.body.readableBytes()];
			this.body.readBytes(bytes);
			if (this.successful) {
				LoadPoller.this.reportFormat.parseReport(bytes)
					.ifPresent((report) -> this.state.onReport(report, this.sentAtMs));
			}
		}

		@Override
		public void onFailed(String reason) {
			fail();
		}

		private void onTimeout() {
			if (!this.finished) {
				ServerConnection current = this.connection;
				if (current != null) {
					LoadPoller.this.relay.connections().closeSilent(this.state.server(), current, this.sentAtMs);
					current.abandon();
				}
				fail();
			}
		}

		private void finish() {
			this.finished = true;
			LoadPoller.this.polled.remove(this.state);
		}

		private void fail() {
			if (!this.finished) {
				finish();
				this.state.onReportMissing(LoadPoller.this.relay.nowMs());
			}
		}

	}

}
