package io.verbenacleat.itest.office;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.agent.AgentDaemon;
import io.verbenacleat.agent.AgentSettings;
import io.verbenacleat.core.account.AccountAdmin;
import io.verbenacleat.core.account.CallerAdmin;
import io.verbenacleat.core.config.ConfigStore;
import io.verbenacleat.core.daemon.CommonSettings;
import io.verbenacleat.core.daemon.ExitCode;
import io.verbenacleat.core.member.DrainAdmin;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.HostEntry;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.PlatformClient;
import io.verbenacleat.core.platform.TransactionLimits;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.core.rpc.FleetSecret;
import io.verbenacleat.entry.EntryDaemon;
import io.verbenacleat.entry.EntrySettings;
import io.verbenacleat.proto.v1.AgentServiceGrpc;
import io.verbenacleat.proto.v1.GetStatusRequest;
import io.verbenacleat.proto.v1.GetStatusResponse;
import io.verbenacleat.standins.BookingSettings;
import io.verbenacleat.standins.BookingStandin;
import io.verbenacleat.standins.EngineSettings;
import io.verbenacleat.standins.EngineStandin;
import io.verbenacleat.standins.PlatformSettings;
import io.verbenacleat.standins.PlatformStandin;

/**
 * Runs a fleet in one JVM: stand-ins, agents and entries. Each entry and agent has its
 * own {@link FaultyTableStore} in front of one shared table store. {@link #close} stops
 * all entries and agents gracefully and audits the history with {@link OfficeAudit}. Not
 * thread-safe, except for the fields with clients, daemons and stand-ins.
 *
 * <pre>{@code
 * try (OfficeFixture office = OfficeFixture.start(2, 2)) {
 *     office.caller.chat(office.url(0), office.key, body);
 * }
 * }</pre>
 */
final class OfficeFixture implements AutoCloseable {

	static final String SECRET = "secret-of-the-test-fleet";

	static final String ACCOUNT = "pans";

	private static final int CALLER_IDLE_TIMEOUT_MS = 2_000;

	private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);

	final InMemoryTableStore tables = new InMemoryTableStore(TransactionLimits.NONE);

	final BlockingTableStore blockingTables = new BlockingTableStore(this.tables, Duration.ofSeconds(2));

	final AccountAdmin accounts = new AccountAdmin(this.blockingTables, Clock.systemUTC());

	final CallerAdmin callers = new CallerAdmin(this.blockingTables, Clock.systemUTC(), new SplittableRandom(4));

	final DrainAdmin drains = new DrainAdmin(this.blockingTables, Clock.systemUTC());

	final ConfigStore configs = new ConfigStore(this.blockingTables, Clock.systemUTC());

	final Caller caller = new Caller();

	final PlatformStandin platform = PlatformStandin.start(new PlatformSettings());

	final List<EngineStandin> engines = new ArrayList<>();

	final List<BreakingProxy> proxies = new ArrayList<>();

	final EngineStandin runaway;

	final BookingStandin booking;

	final OfficeConfigFiles.Servers servers;

	final List<EntryDaemon> entries = new CopyOnWriteArrayList<>();

	final List<FaultyTableStore> entryTables = new ArrayList<>();

	final List<AgentDaemon> agents = new ArrayList<>();

	final List<FaultyTableStore> agentTables = new ArrayList<>();

	final List<ExitCode> exitCodes = new CopyOnWriteArrayList<>();

	final String key;

	private final Set<Object> stopped = ConcurrentHashMap.newKeySet();

	private final Channels channels = new Channels(FleetSecret.of(SECRET));

	private final PlatformClient platformClient = PlatformClient.builder(this.platform.url()).build();

	private OfficeFixture(int entryCount, int engineCount, long tokenIntervalMs, long budgetTokens) throws Exception {
		for (int i = 0; i < engineCount; i++) {
			this.engines.add(EngineStandin.start(engineSettings("quotes", tokenIntervalMs, false)));
			this.proxies.add(new BreakingProxy(this.engines.get(i).url(), 11 + i));
		}
		this.runaway = EngineStandin.start(engineSettings("runaway", tokenIntervalMs, true));
		BookingSettings bookingSettings = new BookingSettings();
		bookingSettings.delayMs = 20;
		this.booking = BookingStandin.start(bookingSettings);
		this.servers = new OfficeConfigFiles.Servers(this.proxies.stream().map(BreakingProxy::url).toList(),
				this.runaway.url(), this.booking.url());
		this.configs.apply(OfficeConfigFiles.files(this.servers, 0), "test", "first", 0);
		this.accounts.create(ACCOUNT, "quotes", 1);
		this.accounts.topUp(ACCOUNT, "first", budgetTokens);
		this.key = this.callers.create(ACCOUNT, "bench").reveal();
		for (String server : this.servers.names()) {
			startAgent(server);
		}
		for (int i = 0; i < entryCount; i++) {
			startEntry();
		}
		await("all processes are ready", this::allReady);
	}

	/**
	 * Starts a fleet with a large budget and a token interval of 1 ms.
	 * @param entryCount the number of entries
	 * @param engineCount the number of engines of the model {@code quotes}
	 * @return the fleet, with all entries and agents ready
	 * @throws Exception when it cannot start
	 */
	static OfficeFixture start(int entryCount, int engineCount) throws Exception {
		return start(entryCount, engineCount, 1, 1_000_000_000);
	}

	/**
	 * Starts a fleet.
	 * @param entryCount the number of entries
	 * @param engineCount the number of engines of the model {@code quotes}
	 * @param tokenIntervalMs the time between two tokens of an engine, in milliseconds
	 * @param budgetTokens the tokens of the first top-up
	 * @return the fleet, with all entries and agents ready
	 * @throws Exception when it cannot start
	 */
	static OfficeFixture start(int entryCount, int engineCount, long tokenIntervalMs, long budgetTokens)
			throws Exception {
		return new OfficeFixture(entryCount, engineCount, tokenIntervalMs, budgetTokens);
	}

	/**
	 * Starts another entry.
	 * @return its index in {@link #entries}
	 * @throws Exception when it cannot start
	 */
	int startEntry() throws Exception {
		int index = this.entries.size();
		EntrySettings settings = new EntrySettings();
		fillCommonSettings(settings, "entry-" + index, "127.0.0.1");
		settings.rpcPort = freePort(settings.host);
		settings.httpPort = 0;
		settings.httpHost = "127.0.0.1";
		settings.callerIdleTimeoutMs = CALLER_IDLE_TIMEOUT_MS;
		FaultyTableStore entryTableStore = new FaultyTableStore(this.tables, 100 + index);
		this.entryTables.add(entryTableStore);
		this.entries
			.add(EntryDaemon.start(settings, entryTableStore, this.platformClient.hosts(), this.exitCodes::add));
		return index;
	}

	/**
	 * Returns the base URL of an entry for callers.
	 * @param entry the index of the entry, taken modulo the number of entries
	 * @return the URL without a path
	 */
	String url(int entry) {
		return "http://127.0.0.1:" + this.entries.get(entry % this.entries.size()).httpPort();
	}

	/**
	 * Returns the host of an agent. Each agent has its own loopback address, because the
	 * host list has one state for each host.
	 * @param agent the index in {@link #agents}
	 * @return the IP address
	 */
	static String agentHost(int agent) {
		return "127.0.1." + (agent + 1);
	}

	/**
	 * Requests the status of an agent.
	 * @param agent the index in {@link #agents}
	 * @return the response
	 */
	GetStatusResponse agentStatus(int agent) {
		return AgentServiceGrpc
			.newBlockingStub(this.channels.get(agentHost(agent) + ":" + this.agents.get(agent).rpcPort()))
			.getStatus(GetStatusRequest.getDefaultInstance());
	}

	/**
	 * Marks the host of one agent as leaving in the host list, and all others as live.
	 * @param agent the index in {@link #agents}
	 */
	void setLeaving(int agent) {
		List<HostEntry> hosts = new ArrayList<>();
		for (int i = 0; i < this.agents.size(); i++) {
			hosts.add(
					new HostEntry(agentHost(i), "tx-1", (i == agent) ? HostEntry.State.LEAVING : HostEntry.State.LIVE));
		}
		this.platform.setHosts(hosts);
	}

	/**
	 * Polls until a condition holds. The timeout is not a requirement; it only fails a
	 * test that would hang.
	 * @param description the condition in words
	 * @param condition the condition
	 * @throws AssertionError when the condition does not hold within 20 s
	 */
	static void await(String description, BooleanSupplier condition) {
		long endNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > endNanos) {
				throw new AssertionError("Not within " + AWAIT_TIMEOUT + ": " + description);
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
		}
	}

	/**
	 * Ends all faults of entries, stops agents and entries gracefully, audits the
	 * history, and closes the stand-ins.
	 */
	@Override
	public void close() throws Exception {
		this.entryTables.forEach((tableStore) -> {
			tableStore.setAvailable(true);
			tableStore.setWriteFaults(0, 0);
			tableStore.setDelay(Duration.ZERO);
		});
		CompletableFuture<?>[] stops = this.agents.stream()
			.map((agent) -> CompletableFuture.runAsync(() -> stop(agent), Executors.newSingleThreadExecutor()))
			.toArray(CompletableFuture<?>[]::new);
		CompletableFuture.allOf(stops).get(AWAIT_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		this.entries.forEach(this::stop);
		try {
			new OfficeAudit(this).check();
		}
		finally {
			this.channels.close();
			this.proxies.forEach(BreakingProxy::close);
			this.engines.forEach(EngineStandin::close);
			this.runaway.close();
			this.booking.close();
			this.platform.close();
		}
	}

	/**
	 * Stops an agent as SIGTERM does. Has no effect when it was stopped before.
	 * @param agent the agent
	 */
	void stop(AgentDaemon agent) {
		if (this.stopped.add(agent)) {
			agent.stopGracefully();
		}
	}

	/**
	 * Stops an entry as SIGTERM does. Has no effect when it was stopped before.
	 * @param entry the entry
	 */
	void stop(EntryDaemon entry) {
		if (this.stopped.add(entry)) {
			entry.stopGracefully();
		}
	}

	/**
	 * Closes an entry without a graceful stop, as a crash does. Has no effect when it was
	 * stopped before.
	 * @param entry the entry
	 */
	void kill(EntryDaemon entry) {
		if (this.stopped.add(entry)) {
			entry.close();
		}
	}

	/**
	 * Returns whether the test has stopped or killed an entry.
	 * @param entry the index in {@link #entries}
	 * @return {@code true} after the stop has begun
	 */
	boolean isStopped(int entry) {
		return this.stopped.contains(this.entries.get(entry));
	}

	private boolean allReady() {
		return this.entries.stream().allMatch(EntryDaemon::isReady)
				&& this.agents.stream().allMatch(AgentDaemon::ready);
	}

	private void startAgent(String server) throws Exception {
		int index = this.agents.size();
		AgentSettings settings = new AgentSettings();
		fillCommonSettings(settings, "agent-" + index, agentHost(index));
		settings.server = server;
		FaultyTableStore agentTableStore = new FaultyTableStore(this.tables, 200 + index);
		this.agentTables.add(agentTableStore);
		this.agents.add(AgentDaemon.start(settings, agentTableStore, this.platformClient.hosts(),
				this.platformClient.weights(), new PrometheusRegistry()));
	}

	private void fillCommonSettings(CommonSettings settings, String name, String host) {
		settings.name = name;
		settings.region = "south-texas";
		settings.zone = "tx-1";
		settings.site = "austin";
		settings.host = host;
		settings.platformUrl = this.platform.url();
		settings.fleetSecret = SECRET;
	}

	private static EngineSettings engineSettings(String model, long tokenIntervalMs, boolean ignoreMaxTokens) {
		EngineSettings settings = new EngineSettings();
		settings.models = model;
		settings.tokenIntervalMs = tokenIntervalMs;
		settings.ignoreMaxTokens = ignoreMaxTokens;
		return settings;
	}

	private static int freePort(String host) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
			return socket.getLocalPort();
		}
	}

}
