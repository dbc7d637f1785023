package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.router.balance.FleetMembers;
import io.verbenacleat.router.balance.FleetPosition;
import org.jspecify.annotations.Nullable;

/**
 * Determines the position of this router among the routers that write their rows, from
 * successive reads of all rows. Confined to the control thread.
 * <p>
 * Routers read the rows at different times, and what they share is exceeded while one of
 * them counts too few routers. A new router therefore takes a position only when all
 * others know it, and a lost one keeps its position for some reads.
 */
final class FleetMembership {

	/** Reads without a change of its row after which a router is lost. */
	static final int READS_TO_EXPIRE = 4;

	/** Time in which all other routers read the row of a new router. */
	static final Duration JOIN_DELAY = RouterDiscovery.INTERVAL.plusSeconds(1);

	/**
	 * A process takes the position of its predecessor if that wrote its row within this
	 * time. Other routers count the predecessor for longer.
	 */
	static final Duration MAX_PREDECESSOR_AGE = RouterDiscovery.INTERVAL.multipliedBy(READS_TO_EXPIRE / 2);

	private final String ownKey;

	private final String ownIncarnation;

	private final Map<String, Observation> observations = new TreeMap<>();

	/** When all others count this router, {@code null} before its row was read. */
	private @Nullable Long positionFromNanos;

	/**
	 * Creates a membership of a router that does not know the fleet.
	 * @param ownKey the key of the row of this router
	 * @param ownIncarnation the incarnation of the process
	 */
	FleetMembership(String ownKey, String ownIncarnation) {
		this.ownKey = ownKey;
		this.ownIncarnation = ownIncarnation;
	}

	/**
	 * Applies a read of all rows.
	 * @param rows the rows of all routers
	 * @param storeTimeMs the time of the store in milliseconds, -1 if unknown
	 * @param nowNanos the steady time in nanoseconds
	 * @return the position of this router, unknown while other routers may not know it
	 */
	FleetPosition onRead(List<Row> rows, long storeTimeMs, long nowNanos) {
		Set<String> present = rows.stream().map(Row::key).collect(Collectors.toSet());
		// A store that comes back from an older copy lacks rows of routers that run.
		this.observations.forEach((key, observation) -> {
			if (!present.contains(key)) {
				observation.onMissing();
			}
		});
		for (Row row : rows) {
			this.observations.computeIfAbsent(row.key(), (key) -> new Observation()).onRead(row.version());
			if (this.positionFromNanos == null && row.key().equals(this.ownKey)) {
				this.positionFromNanos = nowNanos + (isOfPredecessor(row, storeTimeMs) ? 0 : JOIN_DELAY.toNanos());
			}
		}
		return present.contains(this.ownKey) ? position(nowNanos) : FleetPosition.unknown();
	}

	/**
	 * Returns whether this router has written its row and waits for its position.
	 * @param nowNanos the steady time in nanoseconds
	 * @return {@code true} for {@link #JOIN_DELAY} after the row of a new router was read
	 */
	boolean isJoining(long nowNanos) {
		Long positionFrom = this.positionFromNanos;
		return positionFrom != null && nowNanos < positionFrom;
	}

	// The previous process at this address had a position, which others still count.
	private boolean isOfPredecessor(Row ownRow, long storeTimeMs) {
		try {
			RouterRow row = Json.read(ownRow.json(), RouterRow.class);
			return !row.incarnation().equals(this.ownIncarnation) && row.atMs() >= 0 && storeTimeMs >= 0
					&& storeTimeMs - row.atMs() <= MAX_PREDECESSOR_AGE.toMillis();
		}
		catch (JsonFormatException ex) {
			return false;
		}
	}

	/**
	 * Returns the routers as of the last read.
	 * @param position the result of the read
	 * @return the members, unknown while the position is unknown
	 */
	FleetMembers members(FleetPosition position) {
		return position.isKnown() ? new FleetMembers(this.ownKey, countedKeys()) : FleetMembers.unknown();
	}

	private List<String> countedKeys() {
		List<String> members = new ArrayList<>();
		this.observations.forEach((key, observation) -> {
			if (observation.unchangedReads < READS_TO_EXPIRE) {
				members.add(key);
			}
		});
		return members;
	}

	private FleetPosition position(long nowNanos) {
		List<String> members = countedKeys();
		int rank = members.indexOf(this.ownKey);
		boolean joined = this.positionFromNanos != null && !isJoining(nowNanos);
		return (rank >= 0 && joined) ? new FleetPosition(rank, members.size()) : FleetPosition.unknown();
	}

	private static final class Observation {

		private long version = -1;

		private int unchangedReads;

		private void onMissing() {
			this.unchangedReads++;
		}

		private void onRead(long newVersion) {
			this.unchangedReads = (newVersion == this.version) ? this.unchangedReads + 1 : 0;
			this.version = newVersion;
		}

	}

}
