package io.verbenacleat.router.balance;

import java.util.function.LongSupplier;

/**
 * The clock that all routers share and the position of this router among them. They
 * determine which permits of a {@link RequestPermits} belong to this router. Safe for use
 * by several threads.
 */
public final class PermitSchedule {

	/** The time of a clock that is not known yet. */
	public static final long UNKNOWN_TIME_MS = -1;

	private final LongSupplier fleetTimeMs;

	private volatile FleetPosition position = FleetPosition.unknown();

	/**
	 * Creates a schedule with an unknown position.
	 * @param fleetTimeMs the current time in milliseconds by a clock that is the same on
	 * all routers, {@link #UNKNOWN_TIME_MS} while it is unknown
	 */
	public PermitSchedule(LongSupplier fleetTimeMs) {
		this.fleetTimeMs = fleetTimeMs;
	}

	/**
	 * Sets the position of this router.
	 * @param newPosition the position
	 */
	public void setPosition(FleetPosition newPosition) {
		this.position = newPosition;
	}

	FleetPosition position() {
		return this.position;
	}

	long fleetTimeMs() {
		return this.fleetTimeMs.getAsLong();
	}

}
