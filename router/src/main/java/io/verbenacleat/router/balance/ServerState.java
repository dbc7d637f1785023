package io.verbenacleat.router.balance;

import java.util.Objects;

import io.verbenacleat.router.server.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Health and load of one incarnation of a backend server, as observed by this router. Not
 * safe for use by several threads.
 * <p>
 * A server is suspended after several consecutive failures, with an exponentially growing
 * duration. After that, one request at a time probes it until one succeeds or a load
 * report arrives.
 */
public final class ServerState {

	/** Consecutive failures after which a server is suspended. */
	private static final int FAILURES_TO_SUSPEND = 2;

	private static final long FIRST_SUSPENSION_MS = 500;

	/**
	 * Upper limit of a suspension. A server that restarts is available again within a few
	 * seconds.
	 */
	private static final long MAX_SUSPENSION_MS = 4_000;

	/**
	 * Time without data after which a server with requests in flight counts as silent.
	 * Engines write every 10 to 50 ms.
	 */
	private static final long SILENCE_MS = 700;

	/**
	 * The limit of a server that warms up is for requests in one second.
	 */
	private static final long WARM_UP_HOLD_MS = 1_000;

	private static final double SMOOTHING = 0.1;

	private static final double INITIAL_LATENCY_MS = 80;

	private final BackendServer server;

	private final PermitSchedule schedule;

	private final ServerLoadModel model;

	private int inFlight;

	private int consecutiveFailures;

	private long suspendedUntilMs = Long.MIN_VALUE;

	private boolean probeInFlight;

	private double latencyMs = INITIAL_LATENCY_MS;

	private double failureRate;

	private double reportedLoad;

	private int sendsSinceReport;

	private boolean hasReport;

	private long silentSinceMs = Long.MAX_VALUE;

	private boolean leaving;

	private long pausedUntilMs = Long.MIN_VALUE;

	private double limitPerS;

	private long limitSetAtMs;

	/** Permits under the limit of the server, {@code null} without a limit. */
	private @Nullable RequestPermits permits;

	private final WarmUpPhase warmUp = new WarmUpPhase();

	/** {@code null} if the servers of the service don't warm up. */
	private @Nullable WarmUpLimit warmUpLimit;

	/** {@code null} while the server does not warm up. */
	private @Nullable WarmUpPermits warmUpPermits;

	/** The rate of the permits, which a limit of the server lowers. */
	private double warmUpRequestsPerS;

	/** {@code null} if the servers of the service don't warm up. */
	private @Nullable RecentSends recentSends;

	/**
	 * Creates the state of an unused server.
	 * @param server the server
	 * @param schedule the schedule of permits for a server that limits requests
	 */
	public ServerState(BackendServer server, PermitSchedule schedule) {
		this(server, schedule, new RequestTimes());
	}

	/**
	 * Creates the state of an unused server.
	 * @param server the server
	 * @param schedule the schedule of permits for a server that limits requests
	 * @param times the means of the requests to the service of the server
	 */
	public ServerState(BackendServer server, PermitSchedule schedule, RequestTimes times) {
		this.server = server;
		this.schedule = schedule;
		this.model = new ServerLoadModel(server.slots(), times);
	}

	/**
	 * Returns the server.
	 * @return the server
	 */
	public BackendServer server() {
		return this.server;
	}

	/**
	 * Returns the model that estimates the time to the first event.
	 * @return the model
	 */
	public ServerLoadModel model() {
		return this.model;
	}

	/**
	 * Returns the number of requests of this router that are in flight at the server.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns whether the server is healthy enough for new requests.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code false} while the server is suspended or silent, or a probe is in
	 * flight
	 */
	public boolean isAvailable(long nowMs) {
		if (isSilent(nowMs)) {
			return false;
		}
		if (this.consecutiveFailures < FAILURES_TO_SUSPEND) {
			return true;
		}
		return nowMs >= this.suspendedUntilMs && !this.probeInFlight;
	}

	/**
	 * Records the server's notice that it is leaving, which is valid for the rest of the
	 * incarnation.
	 * @return {@code true} for the first notice
	 */
	public boolean onLeaving() {
		boolean first = !this.leaving;
		this.leaving = true;
		return first;
	}

	/**
	 * Records that the server requested a pause, during which it is sent no requests. A
	 * shorter pause does not replace a longer one.
	 * @param nowMs the steady time in milliseconds
	 * @param pauseMs the requested duration in milliseconds
	 */
	public void onPause(long nowMs, long pauseMs) {
		this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + pauseMs);
	}

	/**
	 * Records the request rate that the server accepts from all routers together. A lower
	 * rate applies at once, a higher one only if it answers a request that was sent after
	 * the current rate was known, because responses may overtake each other.
	 * @param requestsPerS the limit in requests per second, 0 or more
	 * @param sentAtMs when the request was sent, by the steady time in milliseconds
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} if the limit has changed
	 */
	public boolean onLimit(double requestsPerS, long sentAtMs, long nowMs) {
		if (isLimited() && (requestsPerS == this.limitPerS
				|| (requestsPerS > this.limitPerS && sentAtMs <= this.limitSetAtMs))) {
			return false;
		}
		this.limitPerS = requestsPerS;
		this.limitSetAtMs = nowMs;
		this.permits = new RequestPermits(requestsPerS, this.server.id(), this.schedule);
		// Polls count towards the limit and end, so the report would become stale.
		this.hasReport = false;
		return true;
	}

	/**
	 * Records that the server named no limit in a response, which ends a limit that was
	 * known before the request was sent.
	 * @param sentAtMs when the request was sent, by the steady time in milliseconds
	 * @return {@code true} if the limit has ended
	 */
	public boolean onNoLimit(long sentAtMs) {
		if (!isLimited() || sentAtMs <= this.limitSetAtMs) {
			return false;
		}
		this.permits = null;
		return true;
	}

	/**
	 * Returns whether the server limits the rate of requests of all routers together.
	 * Load polls count towards the limit as well.
	 * @return {@code true} while a limit is known
	 */
	public boolean isLimited() {
		return this.permits != null;
	}

	/**
	 * Sets how the servers of the service warm up.
	 * @param limit what they accept meanwhile, {@code null} if they don't warm up
	 */
	void setWarmUpLimit(@Nullable WarmUpLimit limit) {
		if (!Objects.equals(limit, this.warmUpLimit)) {
			this.warmUpLimit = limit;
			this.warmUpPermits = null;
			this.recentSends = (limit != null) ? new RecentSends(limit.maxRequestsPerS()) : null;
		}
	}

	/**
	 * Returns the warm-up of the server.
	 * @return the phase
	 */
	WarmUpPhase warmUp() {
		return this.warmUp;
	}

	/**
	 * Records the remaining time for which the server warms up, as a response states it.
	 * @param leftMs the time in milliseconds, 0 or more
	 * @param nowMs the steady time in milliseconds
	 */
	public void onWarmUpStated(long leftMs, long nowMs) {
		this.warmUp.onStated(leftMs, nowMs);
	}

	/**
	 * Records that a response states a remaining time that cannot be used.
	 * @return {@code true} for the first one of the incarnation
	 */
	public boolean onWarmUpInvalid() {
		return this.warmUp.onInvalid();
	}

	/**
	 * Returns the remaining time for which the server warms up.
	 * @param nowMs the steady time in milliseconds
	 * @return the time in milliseconds, 0 if it does not warm up
	 */
	public long warmUpRemainingMs(long nowMs) {
		WarmUpLimit limit = this.warmUpLimit;
		return (limit != null) ? this.warmUp.remainingMs(nowMs, limit.startMs()) : 0;
	}

	/**
	 * Returns whether the server warms up, so that requests need a permit. Load polls
	 * count as requests as well.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} while it warms up
	 */
	public boolean isWarmingUp(long nowMs) {
		return warmUpPermits(nowMs) != null;
	}

	/**
	 * Returns the time until this router has a permit for the server that warms up.
	 * @param nowMs the steady time in milliseconds
	 * @return the time in milliseconds, 0 if there is one, -1 if it is unknown or the
	 * server does not warm up
	 */
	long nextWarmUpPermitMs(long nowMs) {
		WarmUpPermits current = warmUpPermits(nowMs);
		return (current != null) ? current.nextPermitDelayMs(nowMs) : -1;
	}

	/**
	 * Returns whether this router alone sent the server within a second what it would
	 * accept if it warmed up. It may have begun to do so, which is known up to 2 s later.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} if other servers should be preferred
	 */
	boolean hadMaximumOfWarmUp(long nowMs) {
		RecentSends sends = this.recentSends;
		return sends != null && sends.isFull(nowMs);
	}

	/**
	 * Returns whether the server has a free slot by its estimated load.
	 * @return {@code true} also if its number of slots is not known
	 */
	boolean hasFreeSlot() {
		return this.server.slots() <= 0 || load() < this.server.slots();
	}

	// Requests that were sent before the warm-up was known need no permits, so a server
	// that was just in use gets no further ones for a second.
	private @Nullable WarmUpPermits warmUpPermits(long nowMs) {
		WarmUpLimit limit = this.warmUpLimit;
		RecentSends sends = this.recentSends;
		if (limit == null || sends == null || warmUpRemainingMs(nowMs) == 0) {
			this.warmUpPermits = null;
			return null;
		}
		WarmUpPermits current = this.warmUpPermits;
		double requestsPerS = isLimited() ? Math.min(limit.requestsPerS(), this.limitPerS) : limit.requestsPerS();
		if (current == null || requestsPerS != this.warmUpRequestsPerS) {
			boolean inUse = current == null && sends.isAny(nowMs);
			current = new WarmUpPermits(requestsPerS, limit.maxRequestsPerS(), this.server.id(), this.schedule,
					inUse ? WARM_UP_HOLD_MS : 0, nowMs);
			this.warmUpPermits = current;
			this.warmUpRequestsPerS = requestsPerS;
			// Polls end, so the report would become stale.
			this.hasReport = false;
		}
		return current;
	}

	/**
	 * Returns whether the server may be polled for its load.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code false} if it accepts no requests, or if polls would use up a part of
	 * the requests that it accepts
	 */
	public boolean acceptsPolls(long nowMs) {
		return acceptsRequests(nowMs) && !isLimited() && !isWarmingUp(nowMs);
	}

	/**
	 * Returns whether the server has announced that it is leaving.
	 * @return {@code true} after a notice
	 */
	public boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * Returns the remaining time of the requested pause.
	 * @param nowMs the steady time in milliseconds
	 * @return the remaining time in milliseconds, 0 without a pause
	 */
	public long remainingPauseMs(long nowMs) {
		return (this.pausedUntilMs > nowMs) ? this.pausedUntilMs - nowMs : 0;
	}

	/**
	 * Returns whether the server accepts new requests according to its own notices.
	 * Suspensions and limits are not considered.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code false} when it is leaving, and during a pause
	 */
	public boolean acceptsRequests(long nowMs) {
		return !this.leaving && remainingPauseMs(nowMs) == 0;
	}

	/**
	 * Returns whether a request may be sent to the server now.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code false} if the server does not accept requests, or limits them or
	 * warms up and this router has no permit
	 */
	public boolean hasPermit(long nowMs) {
		WarmUpPermits warmUpPermits = warmUpPermits(nowMs);
		if (warmUpPermits != null) {
			return acceptsRequests(nowMs) && warmUpPermits.isAvailable(nowMs);
		}
		RequestPermits current = this.permits;
		return acceptsRequests(nowMs) && (current == null || current.isAvailable());
	}

	/**
	 * Takes the permit for one request, which must then be sent.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code false} if no request may be sent now
	 */
	public boolean takePermit(long nowMs) {
		WarmUpPermits warmUpPermits = warmUpPermits(nowMs);
		if (warmUpPermits != null) {
			return acceptsRequests(nowMs) && warmUpPermits.tryTake(nowMs);
		}
		RequestPermits current = this.permits;
		return acceptsRequests(nowMs) && (current == null || current.tryTake());
	}

	/**
	 * Returns whether requests are in flight and the server has sent no data for some
	 * time.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} when the server is silent
	 */
	public boolean isSilent(long nowMs) {
		return this.inFlight > 0 && nowMs - this.silentSinceMs > SILENCE_MS;
	}

	/**
	 * Records that a request is sent to the server.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onSend(long nowMs) {
		if (this.inFlight == 0) {
			this.silentSinceMs = nowMs;
		}
		this.inFlight++;
		this.sendsSinceReport++;
		RecentSends sends = this.recentSends;
		if (sends != null) {
			sends.onSend(nowMs);
		}
		if (this.consecutiveFailures >= FAILURES_TO_SUSPEND) {
			this.probeInFlight = true;
		}
	}

	/**
	 * Records that data was received from the server.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onBytes(long nowMs) {
		this.silentSinceMs = nowMs;
	}

	/**
	 * Records the time to the first byte of a response.
	 * @param elapsedMs the time since the send in milliseconds
	 */
	public void onFirstByte(long elapsedMs) {
		if (this.warmUpPermits != null) {
			// The server is slower now than it will be.
			return;
		}
		this.latencyMs += SMOOTHING * (elapsedMs - this.latencyMs);
	}

	/**
	 * Records that a request ended without a failure of the server. A rejection that a
	 * notice of the server explains also counts as a success.
	 */
	public void onSuccess() {
		recordEnd();
		this.consecutiveFailures = 0;
		this.failureRate -= SMOOTHING * this.failureRate;
	}

	/**
	 * Records that no connection to the server could be established.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onConnectFailure(long nowMs) {
		recordFailure(nowMs);
	}

	/**
	 * Records that the server rejected a request without running it.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onRefusal(long nowMs) {
		recordEnd();
		recordFailure(nowMs);
	}

	/**
	 * Records that a request ended for a reason unrelated to the health of the server.
	 */
	public void onAbandoned() {
		recordEnd();
	}

	/**
	 * Records that a request in flight has failed.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onFailure(long nowMs) {
		recordEnd();
		recordFailure(nowMs);
	}

	private void recordFailure(long nowMs) {
		this.consecutiveFailures++;
		this.failureRate += SMOOTHING * (1 - this.failureRate);
		if (this.consecutiveFailures >= FAILURES_TO_SUSPEND) {
			int doublings = Math.min(this.consecutiveFailures - FAILURES_TO_SUSPEND, 3);
			this.suspendedUntilMs = nowMs + Math.min(MAX_SUSPENSION_MS, FIRST_SUSPENSION_MS << doublings);
		}
	}

	/**
	 * Records a load report, and ends a suspension. The load of a server that limits
	 * requests or warms up is not used.
	 * @param requests the requests of all routers that run or wait at the server
	 */
	public void onReport(int requests) {
		this.reportedLoad = requests;
		this.sendsSinceReport = 0;
		this.hasReport = !isLimited() && this.warmUpPermits == null;
		this.consecutiveFailures = Math.min(this.consecutiveFailures, FAILURES_TO_SUSPEND - 1);
	}

	/**
	 * Records a load report with its age, and ends a suspension.
	 * @param report the report
	 * @param requestedAtMs when the report was requested, by the steady time in
	 * milliseconds
	 */
	public void onReport(LoadReport report, long requestedAtMs) {
		onReport(report.requests());
		this.model.onReport(report, requestedAtMs);
	}

	/**
	 * Records that the server did not answer a request for a load report.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onReportMissing(long nowMs) {
		this.hasReport = false;
		recordFailure(nowMs);
	}

	/**
	 * Returns the estimated number of requests in flight at the server.
	 * @return the last reported load plus the sends since then, but at least the requests
	 * of this router; only the latter if the last report is missing
	 */
	public double load() {
		return this.hasReport ? Math.max(this.inFlight, this.reportedLoad + this.sendsSinceReport) : this.inFlight;
	}

	/**
	 * Returns a snapshot of this state for a selection policy.
	 * @param zone the availability zone of this router
	 * @return the candidate
	 */
	public Candidate toCandidate(String zone) {
		return new Candidate(this.server, load(), this.latencyMs, this.failureRate, this.server.zone().equals(zone),
				this.model);
	}

	private void recordEnd() {
		this.inFlight--;
		this.probeInFlight = false;
	}

}
