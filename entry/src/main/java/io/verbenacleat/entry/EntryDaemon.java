package io.verbenacleat.entry;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.SingleControlThread;
import io.verbenacleat.core.daemon.AdminServer;
import io.verbenacleat.core.daemon.DaemonProcess;
import io.verbenacleat.core.daemon.ExitCode;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.head.HeadPoller;
import io.verbenacleat.core.id.Incarnations;
import io.verbenacleat.core.member.FleetRegistrar;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.core.member.RegistrationException;
import io.verbenacleat.core.platform.HostList;
import io.verbenacleat.core.platform.PlatformClient;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.core.rpc.FleetSecret;
import io.verbenacleat.core.rpc.RpcServer;
import io.verbenacleat.entry.budget.BudgetLedger;
import io.verbenacleat.entry.budget.GatewayReconciler;
import io.verbenacleat.entry.budget.ProcessCloser;
import io.verbenacleat.entry.budget.ProcessRetention;
import io.verbenacleat.entry.holder.ConfiguredGrantPolicy;
import io.verbenacleat.entry.holder.FleetBudgetRouter;
import io.verbenacleat.entry.holder.HolderService;
import io.verbenacleat.entry.http.HttpGateway;
import io.verbenacleat.entry.member.AgentStatusController;
import io.verbenacleat.entry.member.CallersController;
import io.verbenacleat.entry.member.ConfigController;
import io.verbenacleat.entry.member.DrainController;
import io.verbenacleat.entry.member.FleetLostAgents;
import io.verbenacleat.entry.member.GrpcAgentControl;
import io.verbenacleat.entry.member.GrpcPeerProbe;
import io.verbenacleat.entry.member.HostWatch;
import io.verbenacleat.entry.member.MembershipController;
import io.verbenacleat.entry.member.PeerMonitor;
import io.verbenacleat.entry.member.ReplacedAgentWatch;
import io.verbenacleat.entry.request.DefaultRequestRunner;
import io.verbenacleat.entry.request.Refusal;
import io.verbenacleat.entry.request.ReserveRefusals;
import io.verbenacleat.entry.routing.AgentLoads;
import io.verbenacleat.proto.v1.ReserveRequest;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A running entry, which consists of the HTTP gateway, the budget holder, the request
 * runner and the controllers. Safe for use by several threads.
 */
public final class EntryDaemon implements DaemonProcess.GracefulDaemon, AutoCloseable {

	private static final Logger logger = LogManager.getLogger(EntryDaemon.class);

	private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration REGISTRATION_RETRY = Duration.ofSeconds(2);

	private static final long KEY_CHECK_RETRY_MS = 1_000;

	/**
	 * The delay between the registration and the first request. Agents poll the
	 * membership every 2 s and refuse orders of entries that are not in it.
	 */
	private static final Duration MEMBERSHIP_PROPAGATION_TIME = Duration.ofMillis(2_500);

	/**
	 * After this time without a response of the platform, a stop no longer waits for
	 * writes to the table store. Agents retain the receipts that are not durable, and the
	 * process that closes this entry takes over the rest.
	 */
	private static final Duration PLATFORM_LOSS_TIMEOUT = Duration.ofSeconds(10);

	/** Exceeds the maximum duration of a request. */
	private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(65);

	private final EntrySettings settings;

	private final TableStore tables;

	private final HostList hosts;

	private final Consumer<ExitCode> exit;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Blackboard blackboard = new Blackboard();

	private final SingleControlThread control = new SingleControlThread("control");

	private final AgentLoads loads = new AgentLoads();

	private final Channels channels;

	private final Member self;

	private final BudgetLedger ledger;

	private final FleetBudgetRouter router;

	private final RpcServer rpcServer;

	private final HttpGateway gateway;

	private final AdminServer adminServer;

	private volatile boolean registered;

	private volatile boolean closedByOthers;

	private volatile boolean stopping;

	private EntryDaemon(EntrySettings settings, TableStore tables, HostList hosts, FleetSecret secret,
			Consumer<ExitCode> exit) throws IOException {
		this.settings = settings;
		this.tables = tables;
		this.hosts = hosts;
		this.exit = exit;
		this.channels = new Channels(secret);
		JvmMetrics.builder().register(this.registry);
		this.self = createMember(settings);
		this.blackboard.write(EntryStateKeys.ACCEPTING, false);
		this.ledger = buildLedger();
		this.router = new FleetBudgetRouter(this.self, this.ledger, this.channels, this.blackboard, this.control);
		HolderService service = new HolderService(this.self.incarnation(), this.ledger, this.blackboard);
		this.rpcServer = RpcServer.start(settings.host, settings.rpcPort, secret, List.of(service));
		this.gateway = startGateway();
		this.adminServer = AdminServer.start(settings.host, settings.adminPort, this.registry, this::isReady);
	}

	/**
	 * Starts an entry with the platform at the URL in the settings.
	 * @param settings the checked settings
	 * @return the running entry, which registers itself as soon as the platform responds
	 * @throws IOException if a port cannot be bound
	 * @throws UsageException if the fleet secret is invalid
	 */
	public static EntryDaemon start(EntrySettings settings) throws IOException, UsageException {
		PlatformClient platform = PlatformClient.builder(settings.platformUrl)
			.token(settings.platformToken)
			.callTimeout(PLATFORM_TIMEOUT)
			.build();
		return start(settings, platform.tables(), platform.hosts());
	}

	/**
	 * Starts an entry with the given platform services.
	 * @param settings the checked settings
	 * @param tables the table store
	 * @param hosts the host list
	 * @return the running entry
	 * @throws IOException if a port cannot be bound
	 * @throws UsageException if the fleet secret is invalid
	 */
	public static EntryDaemon start(EntrySettings settings, TableStore tables, HostList hosts)
			throws IOException, UsageException {
		return start(settings, tables, hosts, (code) -> System.exit(code.code()));
	}

	/**
	 * Starts an entry with the given platform services, in a process that runs several
	 * daemons.
	 * @param settings the checked settings
	 * @param tables the table store
	 * @param hosts the host list
	 * @param exit terminates the daemon after another process has closed this entry;
	 * called on a new thread
	 * @return the running entry
	 * @throws IOException if a port cannot be bound
	 * @throws UsageException if the fleet secret is invalid
	 */
	public static EntryDaemon start(EntrySettings settings, TableStore tables, HostList hosts, Consumer<ExitCode> exit)
			throws IOException, UsageException {
		EntryDaemon daemon = new EntryDaemon(settings, tables, hosts, settings.secret(), exit);
		Thread registration = new Thread(daemon::register, "registration");
		registration.setDaemon(true);
		registration.start();
		return daemon;
	}

	/**
	 * Returns the port for callers.
	 * @return the bound port
	 */
	public int httpPort() {
		return this.gateway.port();
	}

	/**
	 * Returns the incarnation of this process.
	 * @return the incarnation
	 */
	public String incarnation() {
		return this.self.incarnation();
	}

	/**
	 * Returns whether this entry accepts requests.
	 * @return {@code true} if the entry is registered, has a configuration and is not
	 * stopping
	 */
	public boolean isReady() {
		return this.registered && Boolean.TRUE.equals(this.blackboard.read(EntryStateKeys.ACCEPTING))
				&& this.blackboard.read(EntryStateKeys.CONFIG) != null;
	}

	@Override
	public ExitCode stopGracefully() {
		this.stopping = true;
		this.control.submit(() -> {
			this.blackboard.write(EntryStateKeys.ACCEPTING, false);
			return true;
		}).join();
		CompletableFuture<Boolean> ledgerStop = this.ledger.stop(DRAIN_TIMEOUT);
		await(() -> this.gateway.requestsInProgress() == 0);
		await(() -> this.control.submit(this.router::unacknowledgedCount).join() == 0 || isPlatformLost());
		await(() -> ledgerStop.isDone() || isPlatformLost());
		boolean clean = !this.registered || ledgerStop.getNow(false);
		close();
		return (clean && !this.closedByOthers) ? ExitCode.DONE : ExitCode.FAILED;
	}

	@Override
	public void close() {
		this.gateway.close();
		this.rpcServer.close();
		this.ledger.close();
		this.adminServer.close();
		this.channels.close();
		this.control.close();
	}

	private Member createMember(EntrySettings from) {
		String incarnation = Incarnations.create(from.name, this.control.clock(), new SecureRandom());
		return new Member(incarnation, Member.Role.ENTRY, from.host + ":" + from.rpcPort, from.host, from.region,
				from.zone, from.site, null, 0, this.control.clock().millis());
	}

	private BudgetLedger buildLedger() {
		BudgetLedger built = BudgetLedger.builder()
			.incarnation(this.self.incarnation())
			.address(this.self.address())
			.store(this.tables)
			.control(this.control)
			.policy(new ConfiguredGrantPolicy(this.blackboard))
			.registry(this.registry)
			.build();
		built.addClosedListener(this::onClosedByOthers);
		return built;
	}

	private HttpGateway startGateway() throws IOException {
		HostWatch hostWatch = new HostWatch(this.hosts, this.control);
		FleetLostAgents lostAgents = new FleetLostAgents(this.blackboard, hostWatch);
		GrpcAgentControl agentControl = new GrpcAgentControl(this.channels);
		ProcessCloser closer = new ProcessCloser(this.self.incarnation(), this.tables, this.control, agentControl,
				lostAgents);
		new GatewayReconciler(this.self.incarnation(), this.ledger, this.tables, this.control, agentControl,
				lostAgents);
		PeerMonitor peers = startControllers(hostWatch, closer);
		new ProcessRetention(this.self.incarnation(), this.tables, this.control, agentControl, lostAgents,
				peers::isFirstInRing);
		DefaultRequestRunner runner = DefaultRequestRunner.builder(this.self.incarnation(), this.self.site())
			.control(this.control, this.blackboard)
			.budget(this.router)
			.agents(this.channels, lostAgents)
			.loads(this.loads)
			.tables(this.tables)
			.registry(this.registry)
			.build();
		return HttpGateway.builder(this.self.incarnation(), this.blackboard, runner, this::checkKey)
			.clock(this.control.clock())
			.registry(this.registry)
			.callerIdleTimeout(Duration.ofMillis(this.settings.callerIdleTimeoutMs))
			.start(this.settings.httpHost, this.settings.httpPort);
	}

	private PeerMonitor startControllers(HostWatch hostWatch, ProcessCloser closer) {
		HeadPoller poller = new HeadPoller(this.tables, this.control, HeadPoller.ENTRY_INTERVAL);
		new ConfigController(this.tables, this.control, this.blackboard, poller, this.self.site(), this.registry);
		new ReplacedAgentWatch(this.blackboard, this.ledger::agentEnded);
		new MembershipController(this.tables, this.control, this.blackboard, poller);
		new DrainController(this.tables, this.control, this.blackboard, poller);
		new CallersController(this.tables, this.control, this.ledger, poller);
		new AgentStatusController(this.control, this.blackboard, this.channels, this.self.site(), this.loads);
		PeerMonitor peers = new PeerMonitor(this.self, this.control, this.blackboard,
				new GrpcPeerProbe(this.channels, this.self.incarnation()), hostWatch, closer::closeProcess,
				this.registry);
		poller.onContact(this::onPlatformContact);
		this.control.execute(poller::start);
		return peers;
	}

	// A process that closes this entry removes it from the membership. Without traffic,
	// the entry would not detect the close in any other way.
	private void onPlatformContact() {
		this.blackboard.write(EntryStateKeys.PLATFORM_LAST_CONTACT_MS, this.control.clock().millis());
		Membership members = this.blackboard.read(EntryStateKeys.MEMBERS);
		if (this.registered && members != null && members.find(this.self.incarnation()).isEmpty()) {
			this.ledger.checkOpen();
		}
	}

	private CompletableFuture<Optional<Refusal>> checkKey(String requestId, CallerKey key) {
		ReserveRequest request = ReserveRequest.newBuilder()
			.setRequestId(requestId)
			.setGatewayIncarnation(this.self.incarnation())
			.setAccount(key.accountId())
			.setKeySha256(key.sha256())
			.build();
		return this.router.reserve(request).thenApply((reservation) -> {
			if (reservation.response().getGranted()) {
				this.router.release(reservation, requestId);
				return Optional.empty();
			}
			return Optional.of(ReserveRefusals.map(reservation.response(), KEY_CHECK_RETRY_MS));
		});
	}

	private void register() {
		FleetRegistrar registrar = new FleetRegistrar(this.tables, PLATFORM_TIMEOUT, new SecureRandom());
		boolean warned = false;
		while (!this.registered && !this.stopping) {
			try {
				registrar.register(this.self);
				this.registered = true;
			}
			catch (RegistrationException ex) {
				if (!warned) {
					logger.warn("Registration failed and is retried: {}", ex.getMessage());
				}
				warned = true;
				LockSupport.parkNanos(REGISTRATION_RETRY.toNanos());
			}
		}
		if (this.registered) {
			this.control.schedule(MEMBERSHIP_PROPAGATION_TIME, this::startAccepting);
		}
	}

	private void startAccepting() {
		if (!this.stopping && !this.closedByOthers) {
			this.blackboard.write(EntryStateKeys.ACCEPTING, true);
			logger.info("Entry {} accepts requests on port {}", this.self.incarnation(), httpPort());
		}
	}

	private void onClosedByOthers() {
		if (!this.stopping) {
			logger.warn("Entry {} was closed by another process; stopping", this.self.incarnation());
			this.closedByOthers = true;
			this.blackboard.write(EntryStateKeys.ACCEPTING, false);
			new Thread(() -> this.exit.accept(ExitCode.FAILED), "exit").start();
		}
	}

	private boolean isPlatformLost() {
		Long seenAtMs = this.blackboard.read(EntryStateKeys.PLATFORM_LAST_CONTACT_MS);
		long sinceMs = (seenAtMs != null) ? seenAtMs : this.self.startedAtMs();
		return this.control.clock().millis() - sinceMs > PLATFORM_LOSS_TIMEOUT.toMillis();
	}

	private static void await(BooleanSupplier condition) {
		while (!condition.getAsBoolean()) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
		}
	}

}
