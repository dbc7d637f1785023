package io.verbenacleat.router.balance;

/**
 * The permits of this router for requests to one backend server that limits the rate of
 * all routers together. Not safe for use by several threads.
 * <p>
 * The server's permits are numbered, and the clock of the fleet issues them at the rate
 * that the server accepts. The routers own them in turn, so they keep the rate together
 * without exchanging messages, also while some of them are cut off. A permit expires soon
 * after it was issued, because routers that save permits could use them all at once.
 */
final class RequestPermits {

	/** Permits of this time are valid. Requests do not arrive exactly in turn. */
	private static final double VALIDITY_S = 1;

	/** Valid permits at any rate, in addition to those of {@link #VALIDITY_S}. */
	private static final int MIN_VALID_PERMITS = 2;

	/**
	 * Lowest rate. Only a response can show that the server no longer limits requests, so
	 * a server that accepts none is still tried.
	 */
	private static final double MIN_REQUESTS_PER_S = 0.25;

	/** Highest rate, more than any server runs, so that permit numbers stay exact. */
	private static final double MAX_REQUESTS_PER_S = 10_000;

	private static final double MS_PER_SECOND = 1_000;

	private static final long NONE = -1;

	private final double requestsPerS;

	private final PermitSchedule schedule;

	/** Lets different routers own the permits that servers issue at the same time. */
	private final int turnOffset;

	private final long validPermits;

	/** The last permit that was used or that this router must not use. */
	private long lastPermit;

	/**
	 * Creates permits of which none that was issued before can be used.
	 * @param requestsPerS the rate of all routers in requests per second, 0 or more
	 * @param serverId the id of the server
	 * @param schedule the clock and the position of this router
	 */
	RequestPermits(double requestsPerS, String serverId, PermitSchedule schedule) {
		this.requestsPerS = Math.min(MAX_REQUESTS_PER_S, Math.max(MIN_REQUESTS_PER_S, requestsPerS));
		this.schedule = schedule;
		this.turnOffset = serverId.hashCode();
		this.validPermits = MIN_VALID_PERMITS + (long) (this.requestsPerS * VALIDITY_S);
		this.lastPermit = newestPermit();
	}

	/**
	 * Returns whether this router has a permit.
	 * @return {@code false} if no request may be sent now
	 */
	boolean isAvailable() {
		return firstUsablePermit() != NONE;
	}

	/**
	 * Uses the oldest permit of this router.
	 * @return {@code false} if there is none
	 */
	boolean tryTake() {
		long permit = firstUsablePermit();
		if (permit == NONE) {
			return false;
		}
		this.lastPermit = permit;
		return true;
	}

	private long firstUsablePermit() {
		FleetPosition position = this.schedule.position();
		long newest = newestPermit();
		if (newest == NONE || !position.isKnown()) {
			return NONE;
		}
		// Without a clock, or if it started anew, nothing is known of earlier permits.
		if (this.lastPermit == NONE || this.lastPermit > newest + this.validPermits) {
			this.lastPermit = newest;
		}
		long oldest = Math.max(this.lastPermit, newest - this.validPermits) + 1;
		long turn = (long) position.rank() + this.turnOffset;
		long permit = oldest + Math.floorMod(turn - oldest, (long) position.routerCount());
		return (permit <= newest) ? permit : NONE;
	}

	private long newestPermit() {
		long timeMs = this.schedule.fleetTimeMs();
		return (timeMs == PermitSchedule.UNKNOWN_TIME_MS) ? NONE : (long) (timeMs * this.requestsPerS / MS_PER_SECOND);
	}

}
