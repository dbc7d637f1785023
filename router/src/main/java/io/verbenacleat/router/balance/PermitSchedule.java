package io.verbenacleat.router.balance;

import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * The clock that all routers share and the position of this router among them. They
 * determine which permits of a {@link RequestPermits} and a {@link WarmUpPermits} belong
 * to this router. Safe for use by several threads.
 */
public final class PermitSchedule {

	/** The time of a clock that is not known yet. */
	public static final long UNKNOWN_TIME_MS = -1;

	/**
	 * A router that could not read the rows of the routers for this long has no members.
	 * Reads are 8 s apart, so this is more than a network partition of 8 s, and less than
	 * the 28 s after its last read in which the others still count it.
	 */
	static final long MEMBERS_VALID_MS = 25_000;

	private static final HashFunction HASH = Hashing.farmHashFingerprint64();

	private static final Members NO_MEMBERS = new Members(FleetMembers.unknown(), 0, new long[0]);

	private final LongSupplier earliestMs;

	private final LongSupplier latestMs;

	private volatile FleetPosition position = FleetPosition.unknown();

	private volatile Members members = NO_MEMBERS;

	/** A lower bound of the time at which the members were last confirmed. */
	private volatile long confirmedAtMs = UNKNOWN_TIME_MS;

	/**
	 * Creates a schedule with an unknown position, by a clock without an error.
	 * @param fleetTimeMs the current time in milliseconds by a clock that is the same on
	 * all routers, {@link #UNKNOWN_TIME_MS} while it is unknown
	 */
	public PermitSchedule(LongSupplier fleetTimeMs) {
		this(fleetTimeMs, fleetTimeMs);
	}

	/**
	 * Creates a schedule with an unknown position.
	 * @param earliestMs the lower bound in milliseconds of the current time by a clock
	 * that is the same on all routers, {@link #UNKNOWN_TIME_MS} while it is unknown
	 * @param latestMs the upper bound
	 */
	public PermitSchedule(LongSupplier earliestMs, LongSupplier latestMs) {
		this.earliestMs = earliestMs;
		this.latestMs = latestMs;
	}

	/**
	 * Sets the position of this router.
	 * @param newPosition the position
	 */
	public void setPosition(FleetPosition newPosition) {
		this.position = newPosition;
	}

	/**
	 * Sets or confirms the routers that share permits.
	 * @param newMembers the members, as just read from the store
	 */
	public void setMembers(FleetMembers newMembers) {
		if (!this.members.fleet.equals(newMembers)) {
			this.members = Members.of(newMembers);
		}
		this.confirmedAtMs = earliestMs();
	}

	FleetPosition position() {
		return this.position;
	}

	/**
	 * Returns the members.
	 * @return the same instance until they change, without members if they are unknown or
	 * were not confirmed for {@link #MEMBERS_VALID_MS}
	 */
	Members members() {
		long confirmedMs = this.confirmedAtMs;
		long sinceMs = latestMs() - confirmedMs;
		boolean valid = confirmedMs != UNKNOWN_TIME_MS && sinceMs >= 0 && sinceMs <= MEMBERS_VALID_MS;
		return valid ? this.members : NO_MEMBERS;
	}

	long fleetTimeMs() {
		long earliest = earliestMs();
		return (earliest == UNKNOWN_TIME_MS) ? UNKNOWN_TIME_MS : (earliest + latestMs()) / 2;
	}

	long earliestMs() {
		return this.earliestMs.getAsLong();
	}

	long latestMs() {
		return this.latestMs.getAsLong();
	}

	/**
	 * The members with the hash codes of their keys. Immutable.
	 */
	static final class Members {

		private final FleetMembers fleet;

		private final long ownHash;

		private final long[] otherHashes;

		private Members(FleetMembers fleet, long ownHash, long[] otherHashes) {
			this.fleet = fleet;
			this.ownHash = ownHash;
			this.otherHashes = otherHashes;
		}

		private static Members of(FleetMembers fleet) {
			long[] others = fleet.keys()
				.stream()
				.filter((key) -> !key.equals(fleet.self()))
				.mapToLong(Members::hash)
				.toArray();
			return new Members(fleet, hash(fleet.self()), others);
		}

		private static long hash(String key) {
			return HASH.hashString(key, StandardCharsets.UTF_8).asLong();
		}

		boolean isKnown() {
			return this.fleet.isKnown();
		}

		int count() {
			return this.otherHashes.length + 1;
		}

		/**
		 * Returns whether a permit belongs to this router, by rendezvous hashing. A
		 * router that is added or lost changes the owners of its own permits only, so
		 * routers that learn of it at different times disagree about few permits.
		 * @param permitKey a key of the permit, which is the same on all routers
		 * @return {@code true} if it belongs to this router
		 */
		boolean owns(long permitKey) {
			long ownWeight = weight(permitKey, this.ownHash);
			for (long otherHash : this.otherHashes) {
				long otherWeight = weight(permitKey, otherHash);
				if (otherWeight > ownWeight || (otherWeight == ownWeight && otherHash > this.ownHash)) {
					return false;
				}
			}
			return true;
		}

		private static long weight(long permitKey, long memberHash) {
			return HASH.hashLong(permitKey ^ memberHash).asLong();
		}

	}

}
