package io.verbenacleat.router.relay;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import io.netty.channel.nio.NioEventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.SingleControlThread;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.router.LoadReportFormat;
import io.verbenacleat.router.balance.LoadReport;
import io.verbenacleat.router.balance.PermitSchedule;
import io.verbenacleat.router.budget.PrepaidLedger;
import io.verbenacleat.router.budget.StoreClock;
import io.verbenacleat.router.budget.TokenPeers;
import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.RequestKind;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.config.Workspace;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.quarantine.CrashReportPeers;
import io.verbenacleat.router.quarantine.PartQuarantine;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerList;
import io.verbenacleat.router.stream.StreamOrigins;

/**
 * A relay on the loopback interface with scripted backend servers.
 */
final class RelayFixture implements AutoCloseable {

	static final String KEY = "secret";

	private static final int TIMEOUT_MS = 5_000;

	private static final int BODY_BYTES = 65_536;

	/** A large body takes longer to arrive. */
	private static final int UPLOAD_TIMEOUT_MS = 20_000;

	final List<FakeServer> servers = new ArrayList<>();

	/** The rows that all routers of a test share. */
	final TableStore store;

	final PrepaidLedger ledger;

	final PartQuarantine quarantine;

	final StreamOrigins streamOrigins;

	final Relay relay;

	/** The clock of permits, which stands still unless a test advances it. */
	final AtomicLong fleetTimeMs = new AtomicLong(1_000_000);

	final PermitSchedule permits = new PermitSchedule(this.fleetTimeMs::get);

	private final NioEventLoopGroup loop = new NioEventLoopGroup(1);

	private final SingleControlThread control = new SingleControlThread("control");

	private final CallerServer callers;

	private final boolean configured;

	private boolean closed;

	private final AtomicBoolean failNextLogLine = new AtomicBoolean();

	RelayFixture(FakeServer.Script... scripts) throws IOException {
		this(true, new InMemoryTableStore(), start(scripts));
	}

	/**
	 * Creates a router beside others.
	 * @param store the rows that the routers share
	 * @param servers the backend servers
	 * @throws IOException if no address can be bound
	 */
	RelayFixture(TableStore store, List<FakeServer> servers) throws IOException {
		this(true, store, servers);
	}

	private RelayFixture(boolean configured, TableStore store, List<FakeServer> servers) throws IOException {
		this.store = store;
		this.configured = configured;
		DecisionLog log = new DecisionLog(this::logTimeMs);
		this.ledger = new PrepaidLedger(new PrepaidLedger.Identity("127.0.0.1:1", "", "r/1", System.nanoTime(), true),
				new InMemoryTableStore(), new UnknownClock(), () -> 0, TokenPeers.none(), this.control, log);
		this.quarantine = new PartQuarantine(new InMemoryTableStore(), new UnknownClock(), CrashReportPeers.none(),
				this.control, log, new Random(1));
		this.streamOrigins = new StreamOrigins(store, new UnknownClock(), () -> 0, this.control, log, new Random(2),
				true);
		RelayOptions options = new RelayOptions(RequestHeadersTests.NAMES, "z", 0.2, 10, 1, 10_000);
		this.relay = new Relay(this.loop.next(), options, new StartTimeFormat(), this.ledger, this.quarantine,
				this.streamOrigins, this.permits, log, new PrometheusRegistry());
		this.relay.setRouterCount(1);
		if (configured) {
			configure(1_000_000);
		}
		this.servers.addAll(servers);
		publishServers();
		this.callers = CallerServer.start(this.loop, this.relay, "127.0.0.1", 0);
	}

	private static List<FakeServer> start(FakeServer.Script... scripts) throws IOException {
		List<FakeServer> started = new ArrayList<>();
		for (FakeServer.Script script : scripts) {
			started.add(new FakeServer("i-" + started.size(), script));
		}
		return started;
	}

	/**
	 * Makes the next log line throw an exception, to simulate an unexpected error.
	 */
	void failNextLogLine() {
		this.failNextLogLine.set(true);
	}

	private long logTimeMs() {
		if (this.failNextLogLine.getAndSet(false)) {
			throw new IllegalStateException("simulated error");
		}
		return System.currentTimeMillis();
	}

	/**
	 * Updates the relay with the registrations of all servers, none of them draining.
	 */
	void publishServers() {
		List<BackendServer> list = this.servers.stream().map(FakeServer::registration).toList();
		ServerList published = ServerList.of(list);
		this.control.submit(() -> {
			this.streamOrigins.updateServers(published);
			return true;
		}).join();
		if (this.configured) {
			await(() -> list.stream()
				.allMatch((server) -> this.streamOrigins.isShared(server.service(), server.softwareVersion())));
		}
		this.relay.updateServers(published);
	}

	/**
	 * Starts a relay that has servers but no configuration yet.
	 * @param scripts the scripts of the servers
	 * @return the fixture
	 * @throws IOException if no address can be bound
	 */
	static RelayFixture unconfigured(FakeServer.Script... scripts) throws IOException {
		return new RelayFixture(false, new InMemoryTableStore(), start(scripts));
	}

	void configure(long prepaidTokens) {
		configure(prepaidTokens, 500);
	}

	void configure(long prepaidTokens, int headerTimeoutMs) {
		configure(prepaidTokens, headerTimeoutMs, false);
	}

	/**
	 * Configures the servers as model servers, whose load is polled.
	 */
	void configureModelService() {
		configure(1_000_000, 500, true);
	}

	/**
	 * Sets the maximum size of a request body, larger than the buffers of a socket.
	 * @param bodyBytes the size in bytes
	 */
	void configureUploads(int bodyBytes) {
		configure(1_000_000, UPLOAD_TIMEOUT_MS, false, bodyBytes);
	}

	private void configure(long prepaidTokens, int headerTimeoutMs, boolean modelService) {
		configure(prepaidTokens, headerTimeoutMs, modelService, BODY_BYTES);
	}

	private void configure(long prepaidTokens, int headerTimeoutMs, boolean modelService, int bodyBytes) {
		List<Route> routes = List.of(route("once", RequestKind.NOT_REPEATABLE, 1),
				route("again", RequestKind.IDEMPOTENT, 2), route("stream", RequestKind.STREAM, 1),
				route("resume", RequestKind.RESUMABLE_STREAM, 2));
		RoutingTable table = new RoutingTable(1, routes, List.of(new Service("s", 100, modelService, 4)),
				List.of(new Workspace("office", List.of(KEY), 3, prepaidTokens)),
				new CallerLimits(4_096, bodyBytes, headerTimeoutMs, 3_000));
		this.relay.configure(table);
		this.ledger.configure(table);
		this.control.submit(() -> {
			this.streamOrigins.configure(table);
			return true;
		}).join();
	}

	/**
	 * Configures how the servers warm up.
	 * @param warmUp the warm-up
	 */
	void configureWarmUp(Service.WarmUp warmUp) {
		RoutingTable current = Objects.requireNonNull(this.relay.table());
		this.relay.configure(new RoutingTable(current.version() + 1, current.routes(),
				List.of(new Service("s", 100, false, 4, warmUp)), current.workspaces(), current.limits()));
	}

	/**
	 * Starts to poll the load of the servers.
	 * @param format the format of load reports
	 * @return closes to stop polling
	 */
	LoadPoller startPolling(LoadReportFormat format) {
		return new LoadPoller(this.relay, format, this.loop.next());
	}

	/**
	 * Blocks the event loop, to simulate a busy host.
	 * @return closes to unblock the event loop
	 */
	Closeable blockEventLoop() {
		CountDownLatch released = new CountDownLatch(1);
		this.loop.execute(() -> await(released));
		return released::countDown;
	}

	/**
	 * Blocks the ledger, to simulate a long series of conflicts.
	 * @return closes to unblock the ledger
	 */
	Closeable blockLedger() {
		CountDownLatch released = new CountDownLatch(1);
		this.control.execute(() -> await(released));
		return released::countDown;
	}

	private static void await(CountDownLatch released) {
		try {
			released.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Opens a connection as a caller.
	 * @return the connection
	 * @throws IOException if it cannot be opened
	 */
	Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.callers.port());
		socket.setSoTimeout(TIMEOUT_MS);
		return socket;
	}

	/**
	 * Sends a request on a new connection and reads until the connection is closed.
	 * @param path the path
	 * @param headers additional headers, each with its line end
	 * @return the response
	 * @throws IOException if the connection fails
	 */
	String call(String path, String headers) throws IOException {
		try (Socket socket = connect()) {
			write(socket, request(path, headers + "Connection: close\r\n", ""));
			return readAll(socket);
		}
	}

	static String request(String path, String headers, String body) {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nTest-Id: 77\r\nTest-Key: " + KEY + "\r\nContent-Length: "
				+ body.length() + "\r\n" + headers + "\r\n" + body;
	}

	static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().flush();
	}

	static String readAll(Socket socket) throws IOException {
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
	}

	static String readUntil(Socket socket, String end) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf(end) < 0) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				throw new IOException("Connection closed after: " + text);
			}
			text.append((char) next);
		}
		return text.toString();
	}

	static boolean await(BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
		while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
			LockSupport.parkNanos(Duration.ofMillis(5).toNanos());
		}
		return condition.getAsBoolean();
	}

	@Override
	public void close() throws IOException {
		closeRouter();
		for (FakeServer server : this.servers) {
			server.close();
		}
	}

	/**
	 * Ends the router, not the servers.
	 */
	void closeRouter() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.callers.close();
		this.relay.close();
		this.ledger.close();
		this.quarantine.close();
		this.streamOrigins.close();
		this.control.close();
		this.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private static Route route(String name, RequestKind kind, int maxAttempts) {
		return Route.builder(name, "h", "/" + name + "/")
			.kind(kind)
			.timing(2_000, 300)
			.maxAttempts(maxAttempts)
			.target("s", 1)
			.affinity(kind.isStream())
			.build();
	}

	/** Load reports that consist of the start time of the server. */
	static final class StartTimeFormat implements LoadReportFormat {

		@Override
		public String path() {
			return "/report";
		}

		@Override
		public Optional<LoadReport> parseReport(byte[] body) {
			return Optional.empty();
		}

		@Override
		public OptionalLong parseStartTimeMs(byte[] body) {
			return OptionalLong.of(Long.parseLong(new String(body, StandardCharsets.ISO_8859_1)));
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
