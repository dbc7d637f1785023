package io.verbenacleat.router.balance;

import io.verbenacleat.router.server.BackendServer;

/**
 * What this router has seen of one incarnation of a backend server. Not safe for use by
 * several threads.
 * <p>
 * A server that fails several sends in a row is suspended for a growing time; then one
 * request at a time tries it.
 */
public final class ServerState {

	/** Failures in a row after which a server is suspended. */
	private static final int FAILURES_TO_SUSPEND = 2;

	private static final long FIRST_SUSPENSION_MS = 500;

	/** Servers that restart are back within some seconds. */
	private static final long MAX_SUSPENSION_MS = 4_000;

	/** Pending work without any byte for this long: engines write each 10 to 50 ms. */
	private static final long SILENCE_MS = 700;

	private static final double SMOOTHING = 0.1;

	private static final double INITIAL_LATENCY_MS = 80;

	private final BackendServer server;

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

	/**
	 * Creates the state of a server that was not used yet.
	 * @param server the server
	 */
	public ServerState(BackendServer server) {
		this.server = server;
	}

	/**
	 * Returns the server.
	 * @return the server
	 */
	public BackendServer server() {
		return this.server;
	}

	/**
	 * Returns how many requests of this router it works on.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns whether it may be chosen.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code false} while it is suspended or silent, or a trial runs
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
	 * Notes that the server said it is about to leave. Holds for the whole incarnation.
	 * @return {@code true} when it said so for the first time
	 */
	public boolean onLeaving() {
		boolean first = !this.leaving;
		this.leaving = true;
		return first;
	}

	/**
	 * Notes that the server asked to be sent nothing for some time. A shorter pause does
	 * not end a longer one.
	 * @param nowMs the steady time in milliseconds
	 * @param pauseMs the time that it asked for, in milliseconds
	 */
	public void onPause(long nowMs, long pauseMs) {
		this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + pauseMs);
	}

	/**
	 * Returns whether the server said that it is about to leave.
	 * @return {@code true} when it did
	 */
	public boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * Returns how long the server wants nothing from this router.
	 * @param nowMs the steady time in milliseconds
	 * @return the time left in milliseconds, 0 without a pause
	 */
	public long remainingPauseMs(long nowMs) {
		return (this.pausedUntilMs > nowMs) ? this.pausedUntilMs - nowMs : 0;
	}

	/**
	 * Returns whether the server takes new requests of this router, whether it is
	 * suspended or not.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code false} once it is leaving, and during a pause
	 */
	public boolean acceptsRequests(long nowMs) {
		return !this.leaving && remainingPauseMs(nowMs) == 0;
	}

	/**
	 * Returns whether it has work of this router and sent nothing for some time.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} when it is silent
	 */
	public boolean isSilent(long nowMs) {
		return this.inFlight > 0 && nowMs - this.silentSinceMs > SILENCE_MS;
	}

	/**
	 * Notes that a request is sent to it.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onSend(long nowMs) {
		if (this.inFlight == 0) {
			this.silentSinceMs = nowMs;
		}
		this.inFlight++;
		this.sendsSinceReport++;
		if (this.consecutiveFailures >= FAILURES_TO_SUSPEND) {
			this.probeInFlight = true;
		}
	}

	/**
	 * Notes bytes from it.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onBytes(long nowMs) {
		this.silentSinceMs = nowMs;
	}

	/**
	 * Notes the first byte of an answer.
	 * @param elapsedMs the time since the send in milliseconds
	 */
	public void onFirstByte(long elapsedMs) {
		this.latencyMs += SMOOTHING * (elapsedMs - this.latencyMs);
	}

	/**
	 * Notes that a send has ended well, also with a refusal.
	 */
	public void onSuccess() {
		recordEnd();
		this.consecutiveFailures = 0;
		this.failureRate -= SMOOTHING * this.failureRate;
	}

	/**
	 * Notes that no connection could be made.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onConnectFailure(long nowMs) {
		recordFailure(nowMs);
	}

	/**
	 * Notes that the server refused a request, which it did not run.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onRefusal(long nowMs) {
		recordEnd();
		recordFailure(nowMs);
	}

	/**
	 * Notes that a send has ended for reasons that tell nothing of the server.
	 */
	public void onAbandoned() {
		recordEnd();
	}

	/**
	 * Notes that a send has failed.
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
	 * Takes a report of the server on its load.
	 * @param requests the requests that run or wait there, of all routers
	 */
	public void onReport(int requests) {
		this.reportedLoad = requests;
		this.sendsSinceReport = 0;
		this.hasReport = true;
		this.consecutiveFailures = Math.min(this.consecutiveFailures, FAILURES_TO_SUSPEND - 1);
	}

	/**
	 * Notes that the server did not report.
	 * @param nowMs the steady time in milliseconds
	 */
	public void onReportMissing(long nowMs) {
		this.hasReport = false;
		recordFailure(nowMs);
	}

	/**
	 * Returns the requests that it works on, as far as they are known.
	 * @return the newest report plus the sends since, or the own requests in progress
	 */
	public double load() {
		return this.hasReport ? Math.max(this.inFlight, this.reportedLoad + this.sendsSinceReport) : this.inFlight;
	}

	/**
	 * Returns this server as a candidate.
	 * @param zone the availability zone of this router
	 * @return the candidate
	 */
	public Candidate toCandidate(String zone) {
		return new Candidate(this.server, load(), this.latencyMs, this.failureRate, this.server.zone().equals(zone));
	}

	private void recordEnd() {
		this.inFlight--;
		this.probeInFlight = false;
	}

}
