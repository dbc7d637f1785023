package io.verbenacleat.router;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.HttpCalls;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.router.balance.FleetMembers;
import io.verbenacleat.router.balance.FleetPosition;
import io.verbenacleat.router.balance.PermitSchedule;
import io.verbenacleat.router.budget.FleetRouter;
import io.verbenacleat.router.budget.PrepaidLedger;
import io.verbenacleat.router.budget.RouterDiscovery;
import io.verbenacleat.router.budget.StoreClock;
import io.verbenacleat.router.budget.StoreEra;
import io.verbenacleat.router.budget.TokenPeers;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.peer.FleetView;
import io.verbenacleat.router.peer.PeerClient;
import io.verbenacleat.router.peer.PeerRequestHandler;
import io.verbenacleat.router.quarantine.CrashReport;
import io.verbenacleat.router.quarantine.CrashReportPeers;
import io.verbenacleat.router.quarantine.PartQuarantine;
import io.verbenacleat.router.relay.CallerServer;
import io.verbenacleat.router.relay.LoadPoller;
import io.verbenacleat.router.relay.Relay;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.EvacuatedZones;
import io.verbenacleat.router.server.EvacuationState;
import io.verbenacleat.router.server.ServerDirectory;
import io.verbenacleat.router.server.ServerList;
import io.verbenacleat.router.stream.StreamOrigins;
import org.jspecify.annotations.Nullable;

/**
 * A running router. Listens for callers, other routers, readiness checks and metrics, and
 * applies changes of the configuration and of the registrations of backend servers. Safe
 * for use by several threads, except the methods of {@link FleetFeed.Listener} and
 * {@link FleetView}, which must be called on the control thread.
 */
public final class RouterDaemon implements FleetFeed.Listener, FleetView, AutoCloseable {

	private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final RouterOptions options;

	private final ControlThread control;

	private final FleetFeed feed;

	private final DecisionLog log;

	private final NioEventLoopGroup loop = new NioEventLoopGroup(1, new DefaultThreadFactory("traffic"));

	private final PrepaidLedger ledger;

	private final PartQuarantine quarantine;

	private final StreamOrigins streamOrigins;

	private final PermitSchedule permits;

	private final Relay relay;

	private final LoadPoller loadPoller;

	private final ServerDirectory directory;

	private final EvacuatedZones evacuatedZones;

	private final Gauge evacuatedZoneCount;

	private final CallerServer callers;

	private final AdminEndpoint readiness;

	private final AdminEndpoint metrics;

	private final PeerClient peers;

	private final RouterDiscovery routerDiscovery;

	private final @Nullable AdminEndpoint peerEndpoint;

	private @Nullable RoutingTable table;

	/** When the registry last confirmed the list of servers, by the steady clock. */
	private long serversConfirmedAtNanos;

	private boolean serversKnown;

	/** Whether the directory has published a list of servers. */
	private boolean serversPublished;

	/** When the registry last confirmed the evacuated zones, by the steady clock. */
	private long evacuationsConfirmedAtNanos;

	private boolean evacuationsConfirmed;

	private volatile boolean configured;

	private volatile boolean serversRead;

	private volatile boolean stopping;

	/**
	 * Starts a router.
	 * @param options the options of the router
	 * @param tables the table store for shared state
	 * @param storeClock the clock of the table store
	 * @param storeEra the era of the table store
	 * @param feed the source of the configuration and the registrations of servers
	 * @param reportFormat the format of the load reports of servers
	 * @param peerCalls the HTTP client for calls to other routers
	 * @param control the control thread
	 * @param log receives an event for each decision
	 * @throws IOException when an address cannot be used
	 */
	public RouterDaemon(RouterOptions options, TableStore tables, StoreClock storeClock, StoreEra storeEra,
			FleetFeed feed, LoadReportFormat reportFormat, HttpCalls peerCalls, ControlThread control, DecisionLog log)
			throws IOException {
		this.options = options;
		this.control = control;
		this.feed = feed;
		this.log = log;
		PrometheusRegistry registry = new PrometheusRegistry();
		TableStore store = new ObservedTableStore(tables, control, log, registry);
		String incarnation = options.name() + "/" + Long.toString(control.clock().millis(), Character.MAX_RADIX);
		boolean hasPeers = options.peerPort() != RouterOptions.NO_PEERS;
		String peerAddress = hasPeers ? options.host() + ":" + options.peerPort() : "";
		this.peers = new PeerClient(peerAddress, options.seeds(), peerCalls, control, log);
		PrepaidLedger.Identity identity = new PrepaidLedger.Identity(options.host() + ":" + options.callerPort(),
				peerAddress, incarnation, options.startedAtNanos(), options.firstStart(), options.capacityCores());
		this.ledger = new PrepaidLedger(identity, store, storeClock, storeEra,
				hasPeers ? this.peers : TokenPeers.none(), control, log, registry);
		this.quarantine = new PartQuarantine(store, storeClock, hasPeers ? this.peers : CrashReportPeers.none(),
				control, log, new Random());
		this.streamOrigins = new StreamOrigins(store, storeClock, storeEra, control, log, new Random(),
				options.firstStart());
		this.permits = new PermitSchedule(storeClock::earliestMs, storeClock::latestMs);
		this.relay = new Relay(this.loop.next(), options.relay(), reportFormat, this.ledger, this.quarantine,
				this.streamOrigins, this.permits, log, registry);
		this.loadPoller = new LoadPoller(this.relay, reportFormat, this.loop.next());
		this.evacuatedZoneCount = Gauge.builder()
			.name("verbena_router_evacuated_zones")
			.help("Availability zones that are evacuated")
			.register(registry);
		this.evacuatedZones = new EvacuatedZones(log, this::publishEvacuatedZones);
		this.directory = new ServerDirectory(control, log, this::publishServers, feed::recheckServers,
				Duration.ofMillis(options.heartbeatMs()));
		this.callers = CallerServer.start(this.loop, this.relay, options.host(), options.callerPort());
		this.readiness = AdminEndpoint.readiness(this.loop, options.readyHost(), options.readyPort(), this::isReady);
		this.metrics = AdminEndpoint.metrics(this.loop, options.host(), options.metricsPort(), registry,
				this.quarantine);
		this.peerEndpoint = hasPeers ? AdminEndpoint.peers(this.loop, options.host(), options.peerPort(),
				new PeerRequestHandler(this, this.ledger, this.peers, control)) : null;
		this.routerDiscovery = new RouterDiscovery(identity, store, storeClock, control, log, new RouterListener());
		log.event("process.started").with("incarnation", incarnation).with("port", this.callers.port()).emit();
		control.execute(() -> {
			feed.start(this);
			if (hasPeers) {
				this.peers.start(this);
			}
		});
	}

	/**
	 * Returns whether the router accepts requests.
	 * @return {@code true} once there is a configuration and a list of servers, until the
	 * router is stopped
	 */
	public boolean isReady() {
		return this.configured && this.serversRead && !this.stopping;
	}

	/**
	 * Returns the port on which callers connect.
	 * @return the port
	 */
	public int callerPort() {
		return this.callers.port();
	}

	/**
	 * Returns the port of the readiness check.
	 * @return the port
	 */
	public int readyPort() {
		return this.readiness.port();
	}

	/**
	 * Returns the port of the metrics endpoint.
	 * @return the port
	 */
	public int metricsPort() {
		return this.metrics.port();
	}

	/**
	 * Returns the port on which other routers connect.
	 * @return the port, {@link RouterOptions#NO_PEERS} if the router does not listen for
	 * others
	 */
	public int peerPort() {
		AdminEndpoint endpoint = this.peerEndpoint;
		return (endpoint != null) ? endpoint.port() : RouterOptions.NO_PEERS;
	}

	@Override
	public void onConfiguration(RoutingTable newTable) {
		RoutingTable current = this.table;
		if (current != null && newTable.version() <= current.version()) {
			if (newTable.version() < current.version()) {
				this.log.event("config.ignored")
					.with("version", newTable.version())
					.with("in_force", current.version())
					.with("reason", "older than the current configuration")
					.emit();
			}
			return;
		}
		this.table = newTable;
		this.relay.configure(newTable);
		this.ledger.configure(newTable);
		this.streamOrigins.configure(newTable);
		this.configured = true;
		this.log.event("config.in_force").with("version", newTable.version()).emit();
	}

	@Override
	public void onRegistryResponse(boolean outageEnded) {
		this.serversConfirmedAtNanos = this.control.nanoTime();
		if (outageEnded) {
			this.directory.onOutageEnded();
		}
	}

	@Override
	public void onServersConfirmed() {
		this.directory.confirm();
	}

	@Override
	public void onServers(Map<String, BackendServer> servers, boolean afterOutage, boolean restored) {
		if (restored) {
			this.directory.restore(servers);
		}
		else {
			this.directory.replaceAll(servers, afterOutage);
		}
		this.serversKnown = true;
		this.serversRead = true;
	}

	@Override
	public void onEvacuations(EvacuationState state) {
		this.evacuationsConfirmed = true;
		this.evacuationsConfirmedAtNanos = this.control.nanoTime();
		if (this.evacuatedZones.onStoreRead(state)) {
			this.peers.spreadEvacuations();
		}
	}

	@Override
	public void onServerChange(String id, @Nullable BackendServer server, boolean afterOutage) {
		this.directory.update(id, server, afterOutage);
	}

	@Override
	public void onUnusableRegistration(String id, boolean afterOutage) {
		this.directory.onUnusable(id, afterOutage);
	}

	@Override
	public @Nullable RoutingTable configuration() {
		return this.table;
	}

	@Override
	public Collection<BackendServer> servers() {
		return this.directory.all();
	}

	@Override
	public long serversAgeMs() {
		return this.serversKnown ? Duration.ofNanos(this.control.nanoTime() - this.serversConfirmedAtNanos).toMillis()
				: Long.MAX_VALUE;
	}

	@Override
	public EvacuationState evacuations() {
		return this.evacuatedZones.state();
	}

	@Override
	public long evacuationsAgeMs() {
		return this.evacuationsConfirmed
				? Duration.ofNanos(this.control.nanoTime() - this.evacuationsConfirmedAtNanos).toMillis()
				: Long.MAX_VALUE;
	}

	@Override
	public void applyEvacuations(EvacuationState received, String peer) {
		if (this.evacuatedZones.onPeerState(received, peer)) {
			this.peers.spreadEvacuations();
		}
	}

	@Override
	public List<CrashReport> crashReports() {
		return this.quarantine.reports();
	}

	@Override
	public void applyCrashReports(List<CrashReport> reports) {
		this.quarantine.receive(reports);
	}

	@Override
	public void applyConfiguration(RoutingTable newTable) {
		onConfiguration(newTable);
	}

	@Override
	public void applyServers(Collection<BackendServer> servers, long ageMs) {
		Map<String, BackendServer> byId = new HashMap<>();
		servers.forEach((server) -> byId.put(server.id(), server));
		onServers(byId, false, false);
		this.serversConfirmedAtNanos = this.control.nanoTime() - Duration.ofMillis(ageMs).toNanos();
	}

	/**
	 * Drains the router: rejects new requests, waits for requests in flight within the
	 * configured stop timeout, and returns unspent tokens to the store. Blocks until this
	 * is done. Connections stay open until {@link #close} or the end of the process.
	 */
	public void stopGracefully() {
		this.stopping = true;
		this.log.event("process.stopping").with("in_progress", this.relay.inProgress()).emit();
		this.relay.stop();
		StopSchedule schedule = StopSchedule.of(Duration.ofMillis(this.options.stopTimeoutMs()));
		long deadlineNanos = System.nanoTime() + schedule.drain().toNanos();
		boolean returnStarted = false;
		while (System.nanoTime() < deadlineNanos && !this.relay.isDrained()) {
			if (!returnStarted && this.relay.isRefusingRequests()) {
				returnStarted = true;
				this.ledger.startReturningTokens();
			}
			LockSupport.parkNanos(POLL_NANOS);
		}
		boolean returned = false;
		try {
			returned = this.ledger.returnAllTokens().get(schedule.grantReturn().toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			this.log.event("grants.kept").with("reason", String.valueOf(ex.getMessage())).emit();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.log.event("process.stopped")
			.with("in_progress", this.relay.inProgress())
			.with("grants_returned", returned)
			.emit();
	}

	private void publishServers(ServerList list) {
		this.serversPublished = true;
		this.streamOrigins.updateServers(list);
		this.relay.updateServers(list.withEvacuated(this.evacuatedZones.zones()));
	}

	private void publishEvacuatedZones(Set<String> zones) {
		this.evacuatedZoneCount.set(zones.size());
		if (this.serversPublished) {
			// The list as published last would state the remaining times of warm-ups
			// anew.
			this.relay.updateServers(ServerList.of(this.directory.all()).withEvacuated(zones));
		}
	}

	private void onRouters(List<FleetRouter> routers, FleetPosition position) {
		List<String> peerAddresses = routers.stream().map(FleetRouter::peerAddress).toList();
		this.ledger.updateRouters(routers);
		this.permits.setPosition(position);
		this.quarantine.setPosition(position);
		this.relay.setRouterCount(peerAddresses.size());
		this.streamOrigins.setRouterCount(peerAddresses.size());
		this.peers.addPeers(peerAddresses);
	}

	@Override
	public void close() {
		this.feed.close();
		this.routerDiscovery.close();
		this.quarantine.close();
		this.streamOrigins.close();
		this.peers.close();
		AdminEndpoint endpoint = this.peerEndpoint;
		if (endpoint != null) {
			endpoint.close();
		}
		this.loadPoller.close();
		this.callers.close();
		this.readiness.close();
		this.metrics.close();
		this.ledger.close();
		this.relay.close();
		this.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
		this.control.close();
	}

	private final class RouterListener implements RouterDiscovery.Listener {

		@Override
		public void onRouters(List<FleetRouter> routers, FleetPosition position) {
			RouterDaemon.this.onRouters(routers, position);
		}

		@Override
		public void onMembers(FleetMembers members) {
			RouterDaemon.this.permits.setMembers(members);
		}

	}

}
