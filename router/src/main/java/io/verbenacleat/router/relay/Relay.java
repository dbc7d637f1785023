package io.verbenacleat.router.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.router.LoadReportFormat;
import io.verbenacleat.router.balance.ExpectedTimeSelection;
import io.verbenacleat.router.balance.LeastLoadedSelection;
import io.verbenacleat.router.balance.PermitSchedule;
import io.verbenacleat.router.balance.PrefixAffinitySelection;
import io.verbenacleat.router.balance.SelectionKind;
import io.verbenacleat.router.balance.SelectionPolicy;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.balance.ServerStates;
import io.verbenacleat.router.balance.WarmUpLimit;
import io.verbenacleat.router.budget.PrepaidLedger;
import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.quarantine.PartQuarantine;
import io.verbenacleat.router.repeat.RetryBudget;
import io.verbenacleat.router.server.ServerList;
import io.verbenacleat.router.stream.StreamOrigins;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The state that all connections of the relay share: the configuration, the backend
 * servers and their health, the requests in progress, and the timer that enforces time
 * limits. Confined to one event loop, except the methods that state otherwise.
 */
public final class Relay implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(Relay.class);

	/** Content type of refusals (RFC 9457). */
	static final String PROBLEM_TYPE = "application/problem+json";

	/** Well below the half second by which a timeout may be late. */
	private static final long SWEEP_INTERVAL_MS = 50;

	/** Memory limit for the request bodies that wait or are being sent. */
	private static final long MAX_BODY_BYTES = 48L << 20;

	/** Limits that apply until a configuration arrives. */
	private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);

	/**
	 * How long new requests are accepted after a stop. The platform polls each second and
	 * may need two polls to detect that a router is stopping.
	 */
	private static final long ACCEPT_AFTER_STOP_MS = 2_500;

	private static final double NANOS_PER_MS = 1e6;

	private final EventLoop loop;

	private final HeaderNames headerNames;

	private final HeaderFilter headerFilter;

	private final DecisionLog log;

	private final RelayMetrics metrics;

	private final PrepaidLedger ledger;

	private final ServerStates states;

	private final ServerConnections connections;

	private final PartQuarantine quarantine;

	private final StreamOrigins streamOrigins;

	private final CrashDetector crashes;

	private final LivenessChecks livenessChecks;

	private final RetryBudget retries;

	private final RelayOptions.WarmUpBound warmUpBound;

	private final Set<CallerConnection> callers = new LinkedHashSet<>();

	private final Set<RelayedRequest> requests = new LinkedHashSet<>();

	private final ScheduledFuture<?> sweeper;

	private volatile @Nullable RoutingTable table;

	private volatile long stoppingSinceMs = -1;

	private volatile int routerCount;

	private volatile int inProgress;

	private volatile boolean drained;

	private boolean serverListReceived;

	private long bodyMemoryBytes;

	private final long originNanos = System.nanoTime();

	/**
	 * Creates a relay and starts its timer.
	 * @param loop the event loop of all connections
	 * @param options the settings
	 * @param reportFormat the format of the load reports of servers
	 * @param ledger provides the wallets of prepaid workspaces
	 * @param quarantine decides on the parts of prompts that crash servers
	 * @param streamOrigins the software versions at which streams were begun
	 * @param schedule the schedule of permits for servers that limit requests
	 * @param log receives a line for each decision
	 * @param registry receives the metrics
	 */
	public Relay(EventLoop loop, RelayOptions options, LoadReportFormat reportFormat, PrepaidLedger ledger,
			PartQuarantine quarantine, StreamOrigins streamOrigins, PermitSchedule schedule, DecisionLog log,
			PrometheusRegistry registry) {
		this.loop = loop;
		this.headerNames = options.headerNames();
		this.warmUpBound = options.warmUpBound();
		this.headerFilter = new HeaderFilter(this.headerNames);
		this.log = log;
		this.metrics = new RelayMetrics(registry);
		this.ledger = ledger;
		LeastLoadedSelection leastLoaded = new LeastLoadedSelection(() -> ThreadLocalRandom.current().nextDouble());
		this.states = new ServerStates(options.zone(), leastLoaded, modelPolicy(options.selection(), leastLoaded),
				schedule);
		this.connections = new ServerConnections(loop, this.headerNames.requestId(), this::nowMs, log, this.metrics);
		this.quarantine = quarantine;
		this.streamOrigins = streamOrigins;
		this.crashes = new CrashDetector(this.connections, log, this.metrics, quarantine::onCrash);
		this.livenessChecks = new LivenessChecks(this, reportFormat, loop);
		this.connections.setObserver(this.livenessChecks);
		this.retries = new RetryBudget(options.retryRatio(), options.retryExtra(), options.minRouters(),
				options.retryWindowMs(), this::nowMs);
		this.sweeper = loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
	}

	private SelectionPolicy modelPolicy(SelectionKind kind, LeastLoadedSelection leastLoaded) {
		return switch (kind) {
			case LEAST_LOADED -> new PrefixAffinitySelection(leastLoaded);
			case EXPECTED_TIME ->
				new ExpectedTimeSelection(() -> ThreadLocalRandom.current().nextDouble(), this::nowMs);
		};
	}

	/**
	 * Applies a new configuration; may be called on any thread.
	 * @param newTable the configuration
	 */
	public void configure(RoutingTable newTable) {
		this.table = newTable;
		Map<String, WarmUpLimit> limits = new HashMap<>();
		for (Service service : newTable.services()) {
			Service.WarmUp warmUp = service.warmUp();
			if (warmUp != null && warmUp.requestsPerS() > 0) {
				limits.put(service.name(), this.warmUpBound.limit(warmUp));
			}
		}
		this.loop.execute(() -> this.states.setWarmUpLimits(limits).forEach(this::onInvalidWarmUp));
	}

	/**
	 * Applies a new list of backend servers; may be called on any thread.
	 * @param list the list
	 */
	public void updateServers(ServerList list) {
		this.loop.execute(() -> {
			this.serverListReceived = true;
			this.states.update(list);
			this.states.applyWarmUps(nowMs()).forEach(this::onInvalidWarmUp);
			checkWarmUps(nowMs());
			this.connections.update(list);
			this.crashes.onServers(list, nowMs());
		});
	}

	/**
	 * Sets the number of routers in the fleet; may be called on any thread.
	 * @param count the count, including lost routers
	 */
	public void setRouterCount(int count) {
		this.routerCount = count;
		this.retries.setRouterCount(count);
	}

	/**
	 * Starts the shutdown: responses close their connections, and new requests are
	 * refused after a short time. May be called on any thread.
	 */
	public void stop() {
		this.stoppingSinceMs = nowMs();
	}

	/**
	 * Returns the number of requests in progress; may be called on any thread.
	 * @return the count, as of the last sweep
	 */
	public int inProgress() {
		return this.inProgress;
	}

	/**
	 * Returns whether the relay has stopped and has neither requests nor connections of
	 * callers; may be called on any thread.
	 * @return {@code true} when the process may exit
	 */
	public boolean isDrained() {
		return this.drained;
	}

	/**
	 * Returns the current limits for callers; may be called on any thread.
	 * @return the limits
	 */
	public CallerLimits limits() {
		RoutingTable current = this.table;
		return (current != null) ? current.limits() : DEFAULT_LIMITS;
	}

	/**
	 * Returns the health and load of the backend servers.
	 * @return the states
	 */
	public ServerStates states() {
		return this.states;
	}

	@Override
	public void close() {
		this.sweeper.cancel(false);
	}

	long nowMs() {
		return (long) ((System.nanoTime() - this.originNanos) / NANOS_PER_MS);
	}

	/**
	 * Returns the time since the relay was created.
	 * @return the time in milliseconds
	 */
	long uptimeMs() {
		return nowMs();
	}

	/**
	 * Returns whether a list of servers was received, which may be empty.
	 * @return {@code false} shortly after the start of the process
	 */
	boolean hasServerList() {
		return this.serverListReceived;
	}

	@Nullable
	RoutingTable table() {
		return this.table;
	}

	HeaderNames headerNames() {
		return this.headerNames;
	}

	HeaderFilter headerFilter() {
		return this.headerFilter;
	}

	DecisionLog log() {
		return this.log;
	}

	RelayMetrics metrics() {
		return this.metrics;
	}

	PrepaidLedger ledger() {
		return this.ledger;
	}

	ServerConnections connections() {
		return this.connections;
	}

	PartQuarantine quarantine() {
		return this.quarantine;
	}

	StreamOrigins streamOrigins() {
		return this.streamOrigins;
	}

	CrashDetector crashes() {
		return this.crashes;
	}

	LivenessChecks livenessChecks() {
		return this.livenessChecks;
	}

	RetryBudget retries() {
		return this.retries;
	}

	Executor executor() {
		return this.loop;
	}

	/**
	 * Returns the number of routers in the fleet.
	 * @return the count, including lost routers, 0 while unknown
	 */
	int routerCount() {
		return this.routerCount;
	}

	boolean isStopping() {
		return this.stoppingSinceMs >= 0;
	}

	/**
	 * Returns whether new requests are refused because the router is stopping; may be
	 * called on any thread.
	 * @return {@code true} from 2.5 seconds after {@link #stop}
	 */
	public boolean isRefusingRequests() {
		long since = this.stoppingSinceMs;
		return since >= 0 && nowMs() - since > ACCEPT_AFTER_STOP_MS;
	}

	boolean reserveBodyMemory(int bytes) {
		if (this.bodyMemoryBytes + bytes > MAX_BODY_BYTES) {
			return false;
		}
		this.bodyMemoryBytes += bytes;
		return true;
	}

	void releaseBodyMemory(int bytes) {
		this.bodyMemoryBytes -= bytes;
	}

	long bodyMemoryBytes() {
		return this.bodyMemoryBytes;
	}

	void addCaller(CallerConnection caller) {
		this.callers.add(caller);
	}

	void removeCaller(CallerConnection caller) {
		this.callers.remove(caller);
	}

	void addRequest(RelayedRequest request) {
		this.requests.add(request);
	}

	void removeRequest(RelayedRequest request) {
		this.requests.remove(request);
	}

	void reject(CallerConnection caller, Refusal refusal, String requestId) {
		this.metrics.refused(refusal);
		this.log.event("request.refused").with("request", requestId).with("reason", code(refusal)).emit();
		caller.sendFullResponse(refusal.status(), "", PROBLEM_TYPE, problemDetails(refusal, requestId));
	}

	static byte[] problemDetails(Refusal refusal, String requestId) {
		return Json
			.write(Map.of("code", code(refusal), "outcome", refusal.isNotRun() ? "not-run" : "unknown", "requestId",
					requestId))
			.getBytes(StandardCharsets.UTF_8);
	}

	static String code(Refusal refusal) {
		return refusal.name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Terminates one request after an unexpected error, so that other requests are not
	 * affected.
	 * @param request the request
	 * @param error the error
	 */
	void onUnexpectedError(RelayedRequest request, RuntimeException error) {
		logger.error("Request {} failed unexpectedly", request.requestId(), error);
		this.metrics.aborted("unexpected_error");
		try {
			request.terminate();
		}
		catch (RuntimeException ex) {
			logger.error("Request {} could not be terminated cleanly", request.requestId(), ex);
		}
	}

	/**
	 * Records that a server stated a remaining warm-up time that cannot be used.
	 * @param state the server
	 */
	void onInvalidWarmUp(ServerState state) {
		this.metrics.invalidWarmUp();
		this.log.event("server.warm_up_invalid").with("server", state.server().id()).emit();
	}

	private void checkWarmUps(long now) {
		for (ServerState state : this.states.findWarmUpChanges(now)) {
			boolean begun = state.isWarmingUp(now);
			this.log.event(begun ? "server.warming_up" : "server.warmed_up")
				.with("server", state.server().id())
				.with("service", state.server().service())
				.with("left_ms", state.warmUpRemainingMs(now))
				.emit();
		}
		long longestMs = 0;
		for (ServerState state : this.states.warmingUp()) {
			longestMs = Math.max(longestMs, state.warmUpRemainingMs(now));
		}
		this.metrics.setWarmingUp(this.states.warmingUp().size(), longestMs);
		this.metrics.heldBack(this.states.takeHeldBackCount());
	}

	// The event loop cancels a periodic task that throws an exception.
	private void sweep(RelayedRequest request, long now) {
		try {
			request.checkTimeouts(now);
		}
		catch (RuntimeException ex) {
			onUnexpectedError(request, ex);
		}
	}

	private void sweep() {
		long now = nowMs();
		for (RelayedRequest request : new ArrayList<>(this.requests)) {
			sweep(request, now);
		}
		checkWarmUps(now);
		CallerLimits limits = limits();
		boolean refusing = isRefusingRequests();
		for (CallerConnection caller : new ArrayList<>(this.callers)) {
			if (refusing && !caller.isBusy()) {
				caller.close();
			}
			else {
				caller.closeIfTimedOut(now, limits.headerTimeoutMs(), limits.idleTimeoutMs());
			}
		}
		this.connections.closeExpired();
		this.inProgress = this.requests.size();
		this.metrics.setInProgress(this.inProgress);
		// Without connections of callers no further request can arrive.
		this.drained = refusing && this.requests.isEmpty() && this.callers.isEmpty();
	}

}
