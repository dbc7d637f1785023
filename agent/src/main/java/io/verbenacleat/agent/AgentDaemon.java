package io.verbenacleat.agent;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.agent.drain.DrainWatch;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.control.SingleControlThread;
import io.verbenacleat.core.daemon.AdminServer;
import io.verbenacleat.core.daemon.DaemonProcess;
import io.verbenacleat.core.daemon.ExitCode;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.head.HeadPoller;
import io.verbenacleat.core.id.Incarnations;
import io.verbenacleat.core.member.FleetRegistrar;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.RegistrationException;
import io.verbenacleat.core.member.ZoneMembers;
import io.verbenacleat.core.platform.HostList;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.WeightStore;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.core.rpc.FleetSecret;
import io.verbenacleat.core.rpc.RpcServer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * A running agent: registers with the platform, runs orders at its backend server and
 * reports their receipts. Safe for use by several threads.
 *
 * <pre>{@code
 * try (AgentDaemon agent = AgentDaemon.start(settings, tables, hosts, weights, registry)) {
 *     agent.stopGracefully();
 * }
 * }</pre>
 */
public final class AgentDaemon implements DaemonProcess.GracefulDaemon, AutoCloseable {

	private static final Logger logger = LogManager.getLogger(AgentDaemon.class);

	private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(3);

	/**
	 * The longest wait for the deregistration, so that an unresponsive platform does not
	 * block the stop.
	 */
	private static final long MAX_DEREGISTER_MS = 5_000;

	private final AgentSettings settings;

	private final String incarnation;

	private final ControlThread control = new SingleControlThread("control");

	private final FleetRegistrar registrar;

	private final AgentComponents components;

	private final HeadPoller poller;

	private final DrainWatch drainWatch;

	private @Nullable RpcServer rpcServer;

	private @Nullable AdminServer adminServer;

	private @Nullable Member member;

	private volatile boolean registered;

	private volatile boolean stopping;

	private volatile long lastContactMs;

	private AgentDaemon(AgentSettings settings, FleetSecret secret, TableStore store, HostList hosts,
			WeightStore weights, ConfigSource configSource, PrometheusRegistry registry) {
		this.settings = settings;
		SecureRandom random = new SecureRandom();
		this.incarnation = Incarnations.create(settings.name, this.control.clock(), random);
		this.registrar = new FleetRegistrar(store, PLATFORM_TIMEOUT, random);
		this.components = new AgentComponents(settings, this.incarnation, this.control, store, weights, configSource,
				new Channels(secret), registry);
		this.poller = new HeadPoller(store, this.control, HeadPoller.AGENT_INTERVAL);
		this.drainWatch = new DrainWatch(this.control, store, hosts, this.components.drainState(), settings.server,
				settings.host);
		this.lastContactMs = this.control.clock().millis();
		GaugeWithCallback.builder()
			.name("verbena_config_age_seconds")
			.help("Time since the table service last answered a poll")
			.callback((callback) -> callback.call((this.control.clock().millis() - this.lastContactMs) / 1_000.0))
			.register(registry);
	}

	/**
	 * Starts an agent and registers it. Blocks until the platform has accepted the
	 * registration.
	 * @param settings the settings, already checked
	 * @param store the table store
	 * @param hosts the host list
	 * @param weights the weight store
	 * @param registry the registry to which the metrics are added
	 * @return the running agent
	 * @throws AgentStartException when a port is in use or the registration fails
	 * @throws UsageException when the fleet secret is missing or too short
	 */
	public static AgentDaemon start(AgentSettings settings, TableStore store, HostList hosts, WeightStore weights,
			PrometheusRegistry registry) throws AgentStartException, UsageException {
		return start(settings, store, hosts, weights, new StoredConfigSource(store, settings.site), registry);
	}

	static AgentDaemon start(AgentSettings settings, TableStore store, HostList hosts, WeightStore weights,
			ConfigSource configSource, PrometheusRegistry registry) throws AgentStartException, UsageException {
		FleetSecret secret = settings.secret();
		AgentDaemon daemon = new AgentDaemon(settings, secret, store, hosts, weights, configSource, registry);
		try {
			daemon.bindPorts(secret, registry);
			daemon.register();
			daemon.startPolling();
			return daemon;
		}
		catch (AgentStartException ex) {
			daemon.close();
			throw ex;
		}
	}

	/**
	 * Returns whether the agent accepts orders: it is registered, is not stopping, has
	 * read members and a configuration with its backend server, and, for a model engine,
	 * knows the state of the engine and is not superseded by a newer agent.
	 * @return {@code true} when it accepts orders
	 */
	public boolean ready() {
		return this.registered && !this.stopping && this.components.configFollower().ready()
				&& this.components.memberWatch().hasMembers();
	}

	/**
	 * Returns the incarnation of this agent.
	 * @return the incarnation
	 */
	public String incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns the gRPC port.
	 * @return the bound port, 0 for none
	 */
	public int rpcPort() {
		RpcServer server = this.rpcServer;
		return (server != null) ? server.port() : 0;
	}

	/**
	 * Returns the port for health and metrics.
	 * @return the bound port, 0 for none
	 */
	public int adminPort() {
		AdminServer server = this.adminServer;
		return (server != null) ? server.port() : 0;
	}

	/**
	 * Stops gracefully, as on SIGTERM: refuses new orders, finishes the running ones,
	 * waits until the receipts are durable, deregisters and closes. Blocks.
	 * @return {@code DONE}, or {@code FAILED} when receipts may be missing
	 */
	@Override
	public ExitCode stopGracefully() {
		this.stopping = true;
		boolean durable = this.control.submit(() -> this.components.drainSequence().begin())
			.thenCompose(Function.identity())
			.join();
		if (!durable) {
			// The process row stays open: a row that the agent closed itself states that
			// no receipt is missing.
			logger.warn("Stopping with {} receipts that are not known to be durable",
					this.components.receiptReporter().waiting());
		}
		else {
			deregister();
		}
		close();
		return (durable) ? ExitCode.DONE : ExitCode.FAILED;
	}

	/**
	 * Stops at once; running orders are aborted.
	 */
	@Override
	public void close() {
		this.stopping = true;
		this.poller.close();
		this.drainWatch.close();
		if (this.rpcServer != null) {
			this.rpcServer.close();
		}
		this.components.close();
		if (this.adminServer != null) {
			this.adminServer.close();
		}
		this.control.close();
	}

	private void bindPorts(FleetSecret secret, PrometheusRegistry registry) throws AgentStartException {
		try {
			this.rpcServer = RpcServer.start(this.settings.host, this.settings.rpcPort, secret,
					List.of(this.components.grpcService()));
		}
		catch (IOException ex) {
			throw new AgentStartException("Cannot bind gRPC port " + this.settings.host + ":" + this.settings.rpcPort
					+ ", is another agent running? " + rootCauseMessage(ex), ex);
		}
		try {
			this.adminServer = AdminServer.start(this.settings.host, this.settings.adminPort, registry, this::ready);
		}
		catch (IOException | RuntimeException ex) {
			throw new AgentStartException("Cannot bind admin port " + this.settings.host + ":" + this.settings.adminPort
					+ ": " + rootCauseMessage(ex), ex);
		}
	}

	private void register() throws AgentStartException {
		try {
			long fence = this.registrar.acquireFencingToken(this.settings.server, this.incarnation);
			Member newMember = new Member(this.incarnation, Member.Role.AGENT, this.settings.host + ":" + rpcPort(),
					this.settings.host, this.settings.region, this.settings.zone, this.settings.site,
					this.settings.server, fence, this.control.clock().millis());
			this.registrar.register(newMember);
			this.member = newMember;
			this.components.configFollower().setFence(fence);
			this.registered = true;
			logger.info("Agent {} registered for backend server {} at {} with fencing token {}", this.incarnation,
					this.settings.server, newMember.address(), fence);
		}
		catch (RegistrationException ex) {
			throw new AgentStartException(String.valueOf(ex.getMessage()), ex);
		}
	}

	private void startPolling() {
		this.poller.onTopic(Head.CONFIG, (topic) -> this.components.configFollower().read());
		this.poller.onTopic(ZoneMembers.KEY_PREFIX, this.components.memberWatch()::read);
		this.poller.onTopic(Head.DRAIN, (topic) -> this.drainWatch.readDrainRow());
		this.poller.onContact(() -> this.lastContactMs = this.control.clock().millis());
		CompletableFuture<?> started = this.control.submit(() -> {
			this.components.receiptReporter().start();
			this.drainWatch.start();
			this.poller.start();
			return true;
		});
		started.join();
		this.components.backendProbe().start();
	}

	private void deregister() {
		Member registeredMember = this.member;
		if (registeredMember == null) {
			return;
		}
		Thread thread = new Thread(() -> deregister(registeredMember), "deregister");
		thread.setDaemon(true);
		thread.start();
		try {
			thread.join(MAX_DEREGISTER_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		thread.interrupt();
	}

	private void deregister(Member registeredMember) {
		try {
			this.registrar.deregister(registeredMember);
			logger.info("Agent {} deregistered", this.incarnation);
		}
		catch (RegistrationException ex) {
			logger.warn("Deregistration of agent {} failed: {}", this.incarnation, ex.getMessage());
		}
	}

	private static String rootCauseMessage(Throwable failure) {
		Throwable root = failure;
		while (root.getCause() != null) {
			root = root.getCause();
		}
		return String.valueOf(root.getMessage());
	}

}
