package io.verbenacleat.router.balance;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * The permits of this router for requests to one backend server that warms up. Not safe
 * for use by several threads.
 * <p>
 * The permits are numbered, and the clock of the fleet issues them at a constant rate.
 * Each belongs to one router, and is valid from its issue for a limited time. All permits
 * that can be used in one second were therefore issued within that second or the validity
 * before it, whichever routers use them. Rate and validity are chosen so that these are
 * fewer than the server may receive. A permit is used only while it is valid by both
 * bounds of the clock, so that an inaccurate clock makes permits unusable, but not
 * additional ones usable.
 */
final class WarmUpPermits {

	/**
	 * Fraction of the permitted requests that the permits of one second and the validity
	 * make up. The rest is for permits that two routers own for some time, for example
	 * when a router that was cut off is still running: up to 4 routers of 24.
	 */
	static final double SHARE_OF_MAXIMUM = 0.85;

	/** A longer validity only lets requests arrive in larger bursts. */
	private static final double MAX_VALIDITY_S = 1;

	/** Requests do not arrive exactly when a permit is issued. */
	private static final double MIN_VALIDITY_S = 0.15;

	/**
	 * Drift of the local clock within {@link PermitSchedule#MEMBERS_VALID_MS}, and the
	 * time from the use of a permit to the write of the request.
	 */
	private static final long CLOCK_MARGIN_MS = 20;

	/** Highest rate, so that permit numbers stay exact. */
	private static final double MAX_REQUESTS_PER_S = 10_000;

	private static final double MS_PER_SECOND = 1_000;

	/** A clock that is behind the last permit by more than this has started anew. */
	private static final double MAX_BACKWARD_S = 5;

	/**
	 * Limits the search for the next permit. The chance that none of so many permits per
	 * router belongs to this one is below 1e-13.
	 */
	private static final int MAX_SEARCHED_PER_ROUTER = 32;

	/**
	 * The clock of the fleet has jumped if it differs from the steady clock by more than
	 * this from one call to the next. Slow responses of the store change it by less.
	 */
	private static final long MAX_CLOCK_CHANGE_MS = 300;

	private static final long NONE = -1;

	private static final HashFunction HASH = Hashing.farmHashFingerprint64();

	private final PermitSchedule schedule;

	private final double requestsPerS;

	private final double validityMs;

	private final long serverHash;

	/** How long after the creation no permits are used, in milliseconds. */
	private final long holdMs;

	private boolean started;

	/** The time of the fleet at the time zero of the steady clock. */
	private long clockOffsetMs;

	private PermitSchedule.Members members;

	/** The last permit that was used or that this router must not use. */
	private long lastPermit = NONE;

	/** The first own permit after the last one, {@link #NONE} if it is not known. */
	private long nextPermit = NONE;

	/** The first permit that was not searched for the next one. */
	private long searchFrom;

	/**
	 * Creates permits of which none that was issued before can be used.
	 * @param requestsPerS the highest rate of permits per second, for all routers
	 * @param maxRequestsPerS the requests that the server may receive in any second
	 * @param serverId the id of the server
	 * @param schedule the clock and the members
	 * @param holdMs how long no permit is used, in milliseconds
	 * @param nowMs the steady time in milliseconds
	 */
	WarmUpPermits(double requestsPerS, double maxRequestsPerS, String serverId, PermitSchedule schedule, long holdMs,
			long nowMs) {
		double permitsInWindow = SHARE_OF_MAXIMUM * Math.floor(maxRequestsPerS);
		double highestRate = Math.min(MAX_REQUESTS_PER_S, permitsInWindow / (1 + MIN_VALIDITY_S));
		this.requestsPerS = Math.min(requestsPerS, highestRate);
		this.validityMs = MS_PER_SECOND * Math.min(MAX_VALIDITY_S, permitsInWindow / this.requestsPerS - 1);
		this.serverHash = HASH.hashString(serverId, StandardCharsets.UTF_8).asLong();
		this.schedule = schedule;
		this.holdMs = holdMs;
		this.members = schedule.members();
		this.clockOffsetMs = schedule.earliestMs() - nowMs;
		start();
	}

	/**
	 * Returns whether this router has a permit.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code false} if no request may be sent now
	 */
	boolean isAvailable(long nowMs) {
		return firstUsablePermit(nowMs) != NONE;
	}

	/**
	 * Uses the oldest permit of this router.
	 * @param nowMs the steady time in milliseconds
	 * @return {@code false} if there is none
	 */
	boolean tryTake(long nowMs) {
		long permit = firstUsablePermit(nowMs);
		if (permit == NONE) {
			return false;
		}
		useUpTo(permit);
		return true;
	}

	/**
	 * Returns the time until the next permit of this router is issued.
	 * @param nowMs the steady time in milliseconds
	 * @return the time in milliseconds, 0 if there is a permit now, -1 if it is unknown
	 */
	long nextPermitDelayMs(long nowMs) {
		if (isAvailable(nowMs)) {
			return 0;
		}
		if (this.nextPermit == NONE || !this.members.isKnown()) {
			return NONE;
		}
		double issuedAtMs = this.nextPermit * MS_PER_SECOND / this.requestsPerS;
		return Math.max(1, (long) Math.ceil(issuedAtMs - this.schedule.earliestMs()));
	}

	private long firstUsablePermit(long nowMs) {
		PermitSchedule.Members current = this.schedule.members();
		if (!current.isKnown() || this.requestsPerS <= 0 || !start()) {
			this.members = current;
			return NONE;
		}
		long earliestMs = this.schedule.earliestMs();
		long newest = permitAt(earliestMs);
		if (this.lastPermit > newest + Math.ceil(this.requestsPerS * MAX_BACKWARD_S)) {
			useUpTo(newest);
		}
		long offsetMs = earliestMs - nowMs;
		if (Math.abs(offsetMs - this.clockOffsetMs) > MAX_CLOCK_CHANGE_MS) {
			// Permits of the time that was skipped would be additional ones.
			useUpTo(Math.max(this.lastPermit, permitAt(this.schedule.latestMs())));
		}
		this.clockOffsetMs = offsetMs;
		if (current != this.members) {
			// The owners before may have used their permits.
			this.members = current;
			useUpTo(Math.max(this.lastPermit, newest));
		}
		long expired = permitAt(this.schedule.latestMs() + CLOCK_MARGIN_MS - this.validityMs);
		if (this.nextPermit != NONE && this.nextPermit <= expired) {
			this.nextPermit = NONE;
		}
		this.searchFrom = Math.max(this.searchFrom, expired + 1);
		findNext(newest);
		return (this.nextPermit != NONE && this.nextPermit <= newest) ? this.nextPermit : NONE;
	}

	private void findNext(long newest) {
		long end = newest + (long) MAX_SEARCHED_PER_ROUTER * this.members.count();
		while (this.nextPermit == NONE && this.searchFrom <= end) {
			if (this.members.owns(HASH.hashLong(this.searchFrom).asLong() ^ this.serverHash)) {
				this.nextPermit = this.searchFrom;
			}
			this.searchFrom++;
		}
	}

	// Without a clock nothing is known of earlier permits.
	private boolean start() {
		long nowMs = this.schedule.earliestMs();
		if (nowMs == PermitSchedule.UNKNOWN_TIME_MS) {
			return false;
		}
		if (!this.started) {
			this.started = true;
			useUpTo(permitAt(this.schedule.latestMs() + this.holdMs));
		}
		return true;
	}

	private void useUpTo(long permit) {
		this.lastPermit = permit;
		this.nextPermit = NONE;
		this.searchFrom = permit + 1;
	}

	private long permitAt(double timeMs) {
		return (long) Math.floor(timeMs * this.requestsPerS / MS_PER_SECOND);
	}

}
