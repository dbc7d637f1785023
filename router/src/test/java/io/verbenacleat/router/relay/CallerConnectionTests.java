package io.verbenacleat.router.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.router.balance.PermitSchedule;
import io.verbenacleat.router.budget.PrepaidLedger;
import io.verbenacleat.router.budget.StoreClock;
import io.verbenacleat.router.budget.TokenPeers;
import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.config.Workspace;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.quarantine.CrashReportPeers;
import io.verbenacleat.router.quarantine.PartQuarantine;
import io.verbenacleat.router.stream.StreamOrigins;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CallerConnectionTests {

	// A request that arrived just after a response used to overtake one that was already
	// queued, and both ran at the same time.
	@Test
	public void aNewRequestDoesNotOvertakeAQueuedOne() {
		Fixture fixture = new Fixture();
		fixture.store.setAvailable(false);
		fixture.configure();
		fixture.channel.pipeline().fireChannelRead(request("/paid/", "1"));
		fixture.channel.runPendingTasks();
		fixture.channel.pipeline().fireChannelRead(request("/none/", "2"));
		assertTrue(fixture.channel.outboundMessages().isEmpty());
		fixture.connection.sendFullResponse(HttpResponseStatus.OK, "", "text/plain",
				"{\"requestId\":\"1\"}".getBytes(StandardCharsets.UTF_8));
		fixture.channel.pipeline().fireChannelRead(request("/none/", "3"));
		fixture.channel.runPendingTasks();
		assertEquals(respondedIds(fixture.channel), List.of("1", "2", "3"));
	}

	@Test
	public void noRequestStartsAfterTheLastResponseOfAConnection() {
		Fixture fixture = new Fixture();
		fixture.configure();
		FullHttpRequest last = request("/none/", "1");
		last.headers().set("Connection", "close");
		fixture.channel.pipeline().fireChannelRead(last);
		fixture.channel.pipeline().fireChannelRead(request("/none/", "2"));
		fixture.channel.runPendingTasks();
		assertEquals(respondedIds(fixture.channel), List.of("1"));
	}

	@Test
	public void aRejectedBodyReleasesNoMemory() {
		Fixture fixture = new Fixture();
		int tooLarge = 49 << 20;
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/paid/",
				Unpooled.wrappedBuffer(new byte[tooLarge]));
		fixture.channel.pipeline().fireChannelRead(request);
		fixture.channel.runPendingTasks();
		assertEquals(respondedIds(fixture.channel).size(), 1);
		assertEquals(fixture.relay.bodyMemoryBytes(), 0);
	}

	@DataProvider
	public Object[][] connectionHeaders() {
		return new Object[][] { { "keep-alive" }, { "close" } };
	}

	// Guards against a stop that discards the end of a response which a slow caller is
	// still reading.
	@Test(dataProvider = "connectionHeaders")
	public void aStopDiscardsNoUnsentResponse(String connectionHeader) {
		Fixture fixture = new Fixture();
		SlowSocket socket = fixture.respondSlowly(connectionHeader, 60_000);
		fixture.relay.stop();
		while (!fixture.relay.isRefusingRequests()) {
			fixture.sweep();
		}
		fixture.sweep();
		fixture.sweep();
		assertTrue(fixture.channel.isOpen());
		assertFalse(fixture.relay.isDrained());
		socket.send();
		fixture.sweep();
		fixture.sweep();
		assertEquals(respondedIds(fixture.channel), List.of("1"));
		assertFalse(fixture.channel.isOpen());
		assertTrue(fixture.relay.isDrained());
	}

	// Guards against connections of callers that never read the end of their response.
	@Test(dataProvider = "connectionHeaders")
	public void aCallerThatReadsNothingIsDisconnected(String connectionHeader) {
		int idleTimeoutMs = 200;
		Fixture fixture = new Fixture();
		fixture.respondSlowly(connectionHeader, idleTimeoutMs);
		fixture.sweep();
		assertTrue(fixture.channel.isOpen());
		long deadlineMs = fixture.relay.nowMs() + 10 * idleTimeoutMs;
		while (fixture.channel.isOpen() && fixture.relay.nowMs() < deadlineMs) {
			fixture.sweep();
		}
		assertFalse(fixture.channel.isOpen());
	}

	private static List<String> respondedIds(EmbeddedChannel channel) {
		List<String> ids = new ArrayList<>();
		FullHttpResponse response = channel.readOutbound();
		while (response != null) {
			String body = response.content().toString(StandardCharsets.UTF_8);
			ids.add(body.replaceAll(".*\"requestId\":\"([^\"]*)\".*", "$1"));
			response = channel.readOutbound();
		}
		return ids;
	}

	private static FullHttpRequest request(String path, String id) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
		request.headers().set("Host", "h").set("Test-Id", id).set("Test-Key", "k").set("Test-Tokens", "10,10");
		return request;
	}

	private static final class Fixture {

		private final ManualControlThread control = new ManualControlThread(Instant.EPOCH);

		private final InMemoryTableStore store = new InMemoryTableStore();

		private final EmbeddedChannel channel = new EmbeddedChannel();

		/**
		 * Has the event loop of the relay, since an embedded channel that closes cancels
		 * all timers of its own.
		 */
		private final EmbeddedChannel timers = new EmbeddedChannel();

		private final PrepaidLedger ledger = new PrepaidLedger(
				new PrepaidLedger.Identity("127.0.0.1:1", "", "r/1", 0, true), this.store, new UnknownClock(), () -> 0,
				TokenPeers.none(), this.control, new DecisionLog(() -> 0));

		private final Relay relay = new Relay(this.timers.eventLoop(),
				new RelayOptions(RequestHeadersTests.NAMES, "z", 0.2, 10, 1, 10_000),
				new RelayFixture.StartTimeFormat(), this.ledger,
				new PartQuarantine(this.store, new UnknownClock(), CrashReportPeers.none(), this.control,
						new DecisionLog(() -> 0), new Random(1)),
				new StreamOrigins(this.store, new UnknownClock(), () -> 0, this.control, new DecisionLog(() -> 0),
						new Random(2), true),
				new PermitSchedule(() -> PermitSchedule.UNKNOWN_TIME_MS), new DecisionLog(() -> 0),
				new PrometheusRegistry());

		private final CallerConnection connection = new CallerConnection(this.relay, this.channel);

		private Fixture() {
			this.channel.pipeline().addLast(this.connection);
		}

		private void configure() {
			configure(1_000);
		}

		private SlowSocket respondSlowly(String connectionHeader, int idleTimeoutMs) {
			SlowSocket socket = new SlowSocket();
			this.channel.pipeline().addFirst(socket);
			configure(idleTimeoutMs);
			this.relay.addCaller(this.connection);
			FullHttpRequest request = request("/none/", "1");
			request.headers().set("Connection", connectionHeader);
			this.channel.pipeline().fireChannelRead(request);
			this.channel.runPendingTasks();
			return socket;
		}

		/** Lets the relay check its connections. */
		private void sweep() {
			long endMs = this.relay.nowMs() + 60;
			while (this.relay.nowMs() < endMs) {
				LockSupport.parkNanos(Duration.ofMillis(5).toNanos());
			}
			this.channel.runPendingTasks();
			this.timers.runPendingTasks();
		}

		private void configure(int idleTimeoutMs) {
			RoutingTable table = new RoutingTable(1, List.of(Route.builder("r", "h", "/paid/").target("s", 1).build()),
					List.of(new Service("s", 10, true, 1)), List.of(new Workspace("w", List.of("k"), 0, 100)),
					new CallerLimits(4_096, 4_096, 1_000, idleTimeoutMs));
			this.relay.configure(table);
			this.ledger.configure(table);
		}

	}

	/**
	 * Holds what is written, like a socket whose peer reads nothing.
	 */
	private static final class SlowSocket extends ChannelOutboundHandlerAdapter {

		private final List<Runnable> held = new ArrayList<>();

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			this.held.add(() -> context.writeAndFlush(message, promise));
		}

		private void send() {
			this.held.forEach(Runnable::run);
		}

	}

	private static final class UnknownClock implements StoreClock {

		@Override
		public long earliestMs() {
			return -1;
		}

		@Override
		public long latestMs() {
			return -1;
		}

	}

}
