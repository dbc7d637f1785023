package io.verbenacleat.router.relay;

import java.util.ArrayList;
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
 * Asks the servers of model services for their load. Used on the event loop of the relay.
 */
public final class LoadPoller implements AutoCloseable {

	private static final long INTERVAL_MS = 1_000;

	/** Reports are made every 200 ms; an answer takes some milliseconds. */
	private static final long TIMEOUT_MS = 700;

	/** More than the rounds in which a fleet of any size asks each server once. */
	private static final int MAX_FIRST_ROUND = 1_000;

	private static final int MAX_REPORT_BYTES = 65_536;

	private final Relay relay;

	private final LoadReportFormat reports;

	private final EventLoop loop;

	private final ScheduledFuture<?> timer;

	/** Routers that start together must not ask the same servers in each round. */
	private long rounds = ThreadLocalRandom.current().nextInt(MAX_FIRST_ROUND);

	/**
	 * Starts to ask.
	 * @param relay the relay
	 * @param reports how servers report
	 * @param loop the event loop of the relay
	 */
	public LoadPoller(Relay relay, LoadReportFormat reports, EventLoop loop) {
		this.relay = relay;
		this.reports = reports;
		this.loop = loop;
		this.timer = loop.scheduleAtFixedRate(this::round, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.timer.cancel(false);
	}

	private void round() {
		RoutingTable table = this.relay.table();
		if (table == null) {
			return;
		}
		this.rounds++;
		for (ServerState state : new ArrayList<>(this.relay.states().all())) {
			Service service = table.service(state.server().service());
			if (service != null && service.modelService() && !state.server().draining()
					&& ReportSchedule.isDue(state.server().id(), this.rounds, this.relay.routers())) {
				long delayMs = ThreadLocalRandom.current().nextLong(INTERVAL_MS / 2);
				this.loop.schedule(() -> ask(state, service), delayMs, TimeUnit.MILLISECONDS);
			}
		}
	}

	private void ask(ServerState state, Service service) {
		if (this.relay.states().isListed(state.server()) && state.acceptsRequests(this.relay.nowMs())) {
			Question question = new Question(state);
			this.relay.connections().acquire(state.server(), service.maxConnections(), question);
			this.loop.schedule(question::expire, TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * One question to one server.
	 */
	private final class Question implements ServerExchange {

		private final ServerState state;

		private final ByteBuf body = Unpooled.buffer();

		private @Nullable ServerConnection connection;

		private boolean over;

		private boolean readable;

		private Question(ServerState state) {
			this.state = state;
		}

		@Override
		public String requestId() {
			return "";
		}

		@Override
		public void onConnected(ServerConnection opened) {
			if (this.over) {
				LoadPoller.this.relay.connections().release(opened);
				return;
			}
			if (!this.state.acceptsRequests(LoadPoller.this.relay.nowMs())) {
				this.over = true;
				LoadPoller.this.relay.connections().release(opened);
				return;
			}
			this.connection = opened;
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
					LoadPoller.this.reports.path());
			request.headers().set(HttpHeaderNames.HOST, this.state.server().host());
			opened.send(this, request);
		}

		@Override
		public void onNotConnected(String reason) {
			fail();
		}

		@Override
		public void onHead(HttpResponse response) {
			ServerNotice.apply(LoadPoller.this.relay, response, this.state);
			this.readable = response.status().equals(HttpResponseStatus.OK);
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
		public void onEnd() {
			if (this.over) {
				return;
			}
			this.over = true;
			byte[] bytes = new byte[this.body.readableBytes()];
			this.body.readBytes(bytes);
			if (this.readable) {
				LoadPoller.this.reports.parseRequestCount(bytes).ifPresent(this.state::onReport);
			}
		}

		@Override
		public void onBroken(String reason) {
			fail();
		}

		private void expire() {
			if (!this.over) {
				ServerConnection current = this.connection;
				if (current != null) {
					current.abandon();
				}
				fail();
			}
		}

		private void fail() {
			if (!this.over) {
				this.over = true;
				this.state.onReportMissing(LoadPoller.this.relay.nowMs());
			}
		}

	}

}
