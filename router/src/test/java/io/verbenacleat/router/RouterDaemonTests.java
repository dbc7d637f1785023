package io.verbenacleat.router;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import io.verbenacleat.core.control.SingleControlThread;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.PlatformClient;
import io.verbenacleat.router.balance.LoadReport;
import io.verbenacleat.router.budget.StoreClock;
import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.relay.HeaderNames;
import io.verbenacleat.router.relay.RelayOptions;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.EvacuationState;
import io.verbenacleat.router.server.WarmUpNotice;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RouterDaemonTests {

	private static final long STOP_TIMEOUT_MS = 1_000;

	private static final long HEARTBEAT_MS = 1_200;

	@Test
	public void aRouterIsReadyWithAConfigurationAndServersUntilItStops() throws IOException {
		ManualFeed feed = new ManualFeed();
		try (RouterDaemon daemon = daemon(feed)) {
			assertTrue(await(() -> feed.listener != null));
			assertEquals(status(daemon.readyPort(), "/ready"), 503);
			assertEquals(status(daemon.callerPort(), "/a/"), 503);
			feed.configure(daemon, 5, "/a/");
			assertEquals(status(daemon.readyPort(), "/ready"), 503);
			daemon.onServers(Map.of(), false, false);
			assertEquals(status(daemon.readyPort(), "/ready"), 200);
			daemon.stopGracefully();
			assertEquals(status(daemon.readyPort(), "/ready"), 503);
		}
	}

	@Test
	public void anOlderConfigurationIsIgnored() throws IOException {
		ManualFeed feed = new ManualFeed();
		try (RouterDaemon daemon = daemon(feed)) {
			assertTrue(await(() -> feed.listener != null));
			feed.configure(daemon, 7, "/new/");
			feed.configure(daemon, 6, "/old/");
			assertEquals(status(daemon.callerPort(), "/old/"), 404);
			assertEquals(status(daemon.callerPort(), "/new/"), 503);
		}
	}

	@Test
	public void aRouterWithoutTheStoreLoadsItsStateFromAPeer() throws IOException {
		ManualFeed feed = new ManualFeed();
		try (RouterDaemon first = daemon(feed, 0, List.of())) {
			assertTrue(await(() -> feed.listener != null));
			feed.configure(first, 5, "/a/");
			first.onRegistryResponse(false);
			first.onServers(Map.of(), false, false);
			try (RouterDaemon second = daemon(new ManualFeed(), 0, List.of("127.0.0.1:" + first.peerPort()))) {
				assertTrue(await(second::isReady));
				assertEquals(status(second.callerPort(), "/b/"), 404);
				assertEquals(status(second.callerPort(), "/a/"), 503);
			}
		}
	}

	// Guards against an evacuation that is known to the control thread and does not reach
	// the relay, on the router that reads it and on one without the store.
	@Test
	public void evacuatedZonesLeaveOutTheirServersOnAllRouters() throws IOException {
		ManualFeed feed = new ManualFeed();
		try (RouterDaemon first = daemon(feed, 0, List.of())) {
			assertTrue(await(() -> feed.listener != null));
			feed.configure(first, 5, "/a/");
			first.onRegistryResponse(false);
			BackendServer server = new BackendServer("i-1", 1, "s", "127.0.0.1", 1, "z", 8, "v1", false);
			first.onServers(Map.of("i-1", server), false, false);
			first.onEvacuations(
					new EvacuationState(Map.of(1L, 9L), List.of(new EvacuationState.ZoneRow("z", 1, 8, true))));
			assertTrue(await(() -> isRefusedForEvacuation(first)));
			try (RouterDaemon second = daemon(new ManualFeed(), 0, List.of("127.0.0.1:" + first.peerPort()))) {
				assertTrue(await(second::isReady));
				assertTrue(await(() -> isRefusedForEvacuation(second)));
			}
			first.onEvacuations(new EvacuationState(Map.of(1L, 10L), List.of()));
			assertTrue(await(() -> metrics(first).contains("verbena_router_evacuated_zones 0.0")));
		}
	}

	// Guards against a list that is published again for an evacuation and restarts the
	// warm-up of its servers, while the registry is silent.
	@Test
	public void anEvacuationDoesNotExtendAWarmUp() throws IOException {
		ManualFeed feed = new ManualFeed();
		try (RouterDaemon daemon = daemon(feed, 0, List.of())) {
			assertTrue(await(() -> feed.listener != null));
			daemon.onConfiguration(
					new RoutingTable(5, List.of(), List.of(new Service("s", 10, false, 1, new Service.WarmUp(0, 12))),
							List.of(), new CallerLimits(4_096, 4_096, 1_000, 1_000)));
			BackendServer server = new BackendServer("i-1", 1, "s", "127.0.0.1", 1, "z", 8, "v1", false,
					WarmUpNotice.received(2_000));
			daemon.onServers(Map.of("i-1", server), false, false);
			assertTrue(await(() -> metrics(daemon).contains("verbena_router_servers_warming_up 1.0")));
			assertTrue(await(() -> metrics(daemon).contains("verbena_router_servers_warming_up 0.0")));
			daemon.onEvacuations(
					new EvacuationState(Map.of(1L, 9L), List.of(new EvacuationState.ZoneRow("y", 1, 8, true))));
			assertTrue(await(() -> metrics(daemon).contains("verbena_router_evacuated_zones 1.0")));
			// The event loop applies the list after the gauge was set.
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(500));
			assertTrue(metrics(daemon).contains("verbena_router_servers_warming_up 0.0"), metrics(daemon));
		}
	}

	private static boolean isRefusedForEvacuation(RouterDaemon daemon) {
		try {
			int status = status(daemon.callerPort(), "/a/");
			return status == 503 && metrics(daemon).contains("verbena_router_evacuated_zones 1.0")
					&& metrics(daemon).contains("reason=\"zones_evacuated\"");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String metrics(RouterDaemon daemon) {
		try {
			return body(daemon.metricsPort(), "/metrics");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Test
	public void malformedPeerCallsAreRejected() throws IOException {
		ManualFeed feed = new ManualFeed();
		try (RouterDaemon daemon = daemon(feed, 0, List.of())) {
			assertEquals(status(daemon.peerPort(), "/fleet"), 400);
			assertEquals(status(daemon.peerPort(), "/none"), 400);
		}
	}

	@Test
	public void metricsCountRefusalsByReason() throws IOException {
		ManualFeed feed = new ManualFeed();
		try (RouterDaemon daemon = daemon(feed)) {
			assertEquals(status(daemon.callerPort(), "/a/"), 503);
			String metrics = body(daemon.metricsPort(), "/metrics");
			assertTrue(metrics.contains("verbena_router_refusals_total{reason=\"not_configured\"} 1.0"), metrics);
		}
	}

	@Test
	public void refusedPartsAreListedAndLifted() throws IOException {
		try (RouterDaemon daemon = daemon(new ManualFeed(), 0, List.of())) {
			assertEquals(post(daemon.peerPort(), "/crashes", """
					{"reports":[{"part":"p1","server":"i-1@1","ageMs":500,"answered":false,"cleared":false},
					{"part":"p1","server":"i-2@1","ageMs":200,"answered":false,"cleared":false},
					{"part":"wrong id","server":"i-2@1","ageMs":0,"answered":false,"cleared":false}]}"""), 200);
			assertTrue(await(() -> refusedParts(daemon).contains("\"p1\"")), refusedParts(daemon));
			assertTrue(refusedParts(daemon).contains("i-1@1"), refusedParts(daemon));
			assertEquals(post(daemon.metricsPort(), "/refused-parts", "p2"), 404);
			assertEquals(post(daemon.metricsPort(), "/refused-parts", "p1"), 202);
			assertTrue(await(() -> refusedParts(daemon).equals("[]")), refusedParts(daemon));
			assertEquals(post(daemon.peerPort(), "/crashes", "{}"), 400);
		}
	}

	private static String refusedParts(RouterDaemon daemon) {
		try {
			return body(daemon.metricsPort(), "/refused-parts");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static int post(int port, String path, String body) throws IOException {
		HttpURLConnection connection = connection(port, path);
		connection.setDoOutput(true);
		connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
		return connection.getResponseCode();
	}

	private static RouterDaemon daemon(ManualFeed feed) throws IOException {
		return daemon(feed, RouterOptions.NO_PEERS, List.of());
	}

	private static RouterDaemon daemon(ManualFeed feed, int peerPort, List<String> seeds) throws IOException {
		HeaderNames names = new HeaderNames("Test-Id", "Test-Deadline", "Test-Key", "Test-Workspace", "Test-Target",
				"Test-Not-Run", "Test-Prefix", "Test-Tokens", "Last-Event-Id", "Test-Resumes", "Test-Priority",
				"Test-Leaving", "Test-Limit", "Test-Warm-Up", Set.of());
		RouterOptions options = new RouterOptions("test", "127.0.0.1", 0, "127.0.0.1", 0, 0, peerPort, seeds,
				STOP_TIMEOUT_MS, HEARTBEAT_MS, System.nanoTime(), true, 1,
				new RelayOptions(names, "z", 0.2, 5, 1, 10_000));
		return new RouterDaemon(options, new InMemoryTableStore(), new UnknownClock(), () -> 0, feed, new NoReports(),
				PlatformClient.builder("http://127.0.0.1:1").build().calls(Duration.ofSeconds(1)),
				new SingleControlThread("control"), new DecisionLog(System::currentTimeMillis));
	}

	private static int status(int port, String path) throws IOException {
		return connection(port, path).getResponseCode();
	}

	private static String body(int port, String path) throws IOException {
		return new String(connection(port, path).getInputStream().readAllBytes(), StandardCharsets.UTF_8);
	}

	private static HttpURLConnection connection(int port, String path) throws IOException {
		return (HttpURLConnection) URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
	}

	private static boolean await(BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
		return condition.getAsBoolean();
	}

	private static final class ManualFeed implements FleetFeed {

		private volatile @Nullable Listener listener;

		@Override
		public void start(Listener newListener) {
			this.listener = newListener;
		}

		@Override
		public void recheckServers() {
		}

		@Override
		public void close() {
			this.listener = null;
		}

		void configure(RouterDaemon daemon, long version, String prefix) {
			Route route = Route.builder("r", "127.0.0.1", prefix).target("s", 1).build();
			daemon.onConfiguration(new RoutingTable(version, List.of(route), List.of(new Service("s", 10, false, 1)),
					List.of(), new CallerLimits(4_096, 4_096, 1_000, 1_000)));
		}

	}

	private static final class NoReports implements LoadReportFormat {

		@Override
		public String path() {
			return "/";
		}

		@Override
		public Optional<LoadReport> parseReport(byte[] body) {
			return Optional.empty();
		}

		@Override
		public OptionalLong parseStartTimeMs(byte[] body) {
			return OptionalLong.empty();
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
