package io.verbenacleat.router.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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
import io.verbenacleat.router.balance.LeastLoadedSelection;
import io.verbenacleat.router.balance.PrefixAffinitySelection;
import io.verbenacleat.router.balance.ServerStates;
import io.verbenacleat.router.budget.PrepaidLedger;
import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.repeat.RetryBudget;
import io.verbenacleat.router.server.ServerList;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * What all connections of the relay share: the configuration and servers in force, what
 * is known of the servers, and the timer. Used on one event loop, except
 * {@link #configure}, {@link #updateServers} and {@link #stop}.
 */
public final class Relay implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(Relay.class);

	/** The type of the bodies of refusals (RFC 9457). */
	static final String PROBLEM_TYPE = "application/problem+json";

	/** Fine enough for timeouts that may be late by half a second. */
	private static final long SWEEP_MS = 50;

	/** The memory for bodies that wait or are being sent. */
	private static final long MAX_BODY_BYTES = 48L << 20;

	/** The limits until there is a configuration. */
	private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);

	/**
	 * The platform notices within two questions, one second each, that a router stops.
	 */
	private static final long ACCEPT_AFTER_STOP_MS = 2_500;

	private static final double NANOS_PER_MS = 1e6;

	private final EventLoop loop;

	private final HeaderNames names;

	private final HeaderRules headerRules;

	private final DecisionLog log;

	private final RelayMetrics metrics;

	private final PrepaidLedger ledger;

	private final ServerStates states;

	private final ServerConnections connections;

	private final RetryBudget retries;

	private final Set<CallerConnection> callers = new LinkedHashSet<>();

	private final Set<RequestRun> runs = new LinkedHashSet<>();

	private final ScheduledFuture<?> sweeper;

	private volatile @Nullable RoutingTable table;

	private volatile long stoppingSinceMs = -1;

	private volatile int routers;

	private volatile int inProgress;

	private volatile boolean drained;

	private boolean serversKnown;

	private long bodyBytes;

	private final long originNanos = System.nanoTime();

	/**
	 * Creates a relay and starts its timer.
	 * @param loop the event loop of all connections
	 * @param options the settings
	 * @param ledger the prepaid tokens
	 * @param log gets a line for each decision
	 * @param registry takes the counters
	 */
	public Relay(EventLoop loop, RelayOptions options, PrepaidLedger ledger, DecisionLog log,
			PrometheusRegistry registry) {
		this.loop = loop;
		this.names = options.headerNames();
		this.headerRules = new HeaderRules(this.names);
		this.log = log;
		this.metrics = new RelayMetrics(registry);
		this.ledger = ledger;
		LeastLoadedSelection plain = new LeastLoadedSelection(() -> ThreadLocalRandom.current().nextDouble());
		this.states = new ServerStates(options.zone(), plain, new PrefixAffinitySelection(plain));
		this.connections = new ServerConnections(loop, this.names.requestId(), this::nowMs);
		this.retries = new RetryBudget(options.retryRatio(), options.retryExtra(), options.minRouters(),
				options.retryWindowMs(), this::nowMs);
		this.sweeper = loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Takes a new configuration; may be called on any thread.
	 * @param newTable the configuration
	 */
	public void configure(RoutingTable newTable) {
		this.table = newTable;
	}

	/**
	 * Takes a new list of servers; may be called on any thread.
	 * @param list the list
	 */
	public void updateServers(ServerList list) {
		this.loop.execute(() -> {
			this.serversKnown = true;
			this.states.update(list);
			this.connections.update(list);
		});
	}

	/**
	 * Takes how many routers the fleet has; may be called on any thread.
	 * @param count the count, lost ones included
	 */
	public void setRouterCount(int count) {
		this.routers = count;
		this.retries.setRouterCount(count);
	}

	/**
	 * Stops taking requests; may be called on any thread.
	 */
	public void stop() {
		this.stoppingSinceMs = nowMs();
	}

	/**
	 * Returns how many requests are in progress; may be called on any thread.
	 * @return the count, as of the last sweep
	 */
	public int inProgress() {
		return this.inProgress;
	}

	/**
	 * Returns whether the relay has stopped and has no requests; may be called on any
	 * thread.
	 * @return {@code true} when the process may end
	 */
	public boolean isDrained() {
		return this.drained;
	}

	/**
	 * Returns the limits of callers in force.
	 * @return the limits
	 */
	public CallerLimits limits() {
		RoutingTable current = this.table;
		return (current != null) ? current.limits() : DEFAULT_LIMITS;
	}

	/**
	 * Returns what is known of the servers.
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
	 * Returns how long the relay runs.
	 * @return the time in milliseconds
	 */
	long sinceStartMs() {
		return nowMs();
	}

	/**
	 * Returns whether a list of servers has come, which may be empty.
	 * @return {@code false} in the first moments of the process
	 */
	boolean knowsServers() {
		return this.serversKnown;
	}

	@Nullable
	RoutingTable table() {
		return this.table;
	}

	HeaderNames names() {
		return this.names;
	}

	HeaderRules headerRules() {
		return this.headerRules;
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

	RetryBudget retries() {
		return this.retries;
	}

	Executor executor() {
		return this.loop;
	}

	/**
	 * Returns how many routers there are.
	 * @return the count, lost ones included, 0 while it is not known
	 */
	int routers() {
		return this.routers;
	}

	boolean isStopping() {
		return this.stoppingSinceMs >= 0;
	}

	/**
	 * Returns whether new requests are refused because the router stops; may be called on
	 * any thread.
	 * @return {@code true} some time after {@link #stop}
	 */
	public boolean isRefusingRequests() {
		long since = this.stoppingSinceMs;
		return since >= 0 && nowMs() - since > ACCEPT_AFTER_STOP_MS;
	}

	boolean reserveBody(int bytes) {
		if (this.bodyBytes + bytes > MAX_BODY_BYTES) {
			return false;
		}
		this.bodyBytes += bytes;
		return true;
	}

	void releaseBody(int bytes) {
		this.bodyBytes -= bytes;
	}

	long bodyBytes() {
		return this.bodyBytes;
	}

	void opened(CallerConnection caller) {
		this.callers.add(caller);
	}

	void closed(CallerConnection caller) {
		this.callers.remove(caller);
	}

	void started(RequestRun run) {
		this.runs.add(run);
	}

	void ended(RequestRun run) {
		this.runs.remove(run);
	}

	void answerUnreadable(CallerConnection caller, Refusal refusal) {
		this.metrics.refused(refusal);
		this.log.event("request.refused").with("reason", code(refusal)).emit();
		caller.sendWhole(refusal.status(), "", PROBLEM_TYPE, problem(refusal, ""));
	}

	static byte[] problem(Refusal refusal, String requestId) {
		return Json
			.write(Map.of("code", code(refusal), "outcome", refusal.isNotRun() ? "not-run" : "unknown", "requestId",
					requestId))
			.getBytes(StandardCharsets.UTF_8);
	}

	static String code(Refusal refusal) {
		return refusal.name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Ends one request after an unexpected error, so that the others go on.
	 * @param run the request
	 * @param error the error
	 */
	void onUnexpectedError(RequestRun run, RuntimeException error) {
		logger.error("Request {} failed unexpectedly", run.requestId(), error);
		this.metrics.aborted("unexpected_error");
		try {
			run.breakOff();
		}
		catch (RuntimeException ex) {
			logger.error("Request {} cannot be ended in order", run.requestId(), ex);
		}
	}

	// The event loop would never call the timer again after an exception.
	private void sweep(RequestRun run, long now) {
		try {
			run.sweep(now);
		}
		catch (RuntimeException ex) {
			onUnexpectedError(run, ex);
		}
	}

	private void sweep() {
		long now = nowMs();
		for (RequestRun run : new ArrayList<>(this.runs)) {
			sweep(run, now);
		}
		CallerLimits limits = limits();
		boolean closing = isRefusingRequests();
		for (CallerConnection caller : new ArrayList<>(this.callers)) {
			if (closing && !caller.isBusy()) {
				caller.close();
			}
			else {
				caller.checkLimits(now, limits.headerTimeoutMs(), limits.idleTimeoutMs());
			}
		}
		this.connections.closeExpired();
		this.inProgress = this.runs.size();
		this.metrics.setInProgress(this.inProgress);
		// Callers are gone or were closed; a request cannot come in any more.
		this.drained = closing && this.runs.isEmpty() && this.callers.isEmpty();
	}

}
