package io.verbenacleat.router.server;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * What is known of the table in which the operator names evacuated zones: how far it was
 * read in each era of the store, and the newest known row of each zone. Immutable; sent
 * between routers.
 * <p>
 * Two states are merged zone by zone, and the newer row wins. A row that the other state
 * lacks was removed if that state covers the version of the row, in the era of the row. A
 * table that was read in a later era says nothing about it: the store may have lost the
 * row when it came back from an older copy. Merging is independent of the order and of
 * repetitions.
 *
 * @param readTo the version up to which the table was read, by era; empty if it was never
 * read
 * @param rows the newest row of each zone, including removed ones
 */
public record EvacuationState(Map<Long, Long> readTo, List<ZoneRow> rows) {

	/** Bounds the memory; an older era only settles which of two old rows is newer. */
	private static final int MAX_ERAS = 8;

	/** Bounds the memory. Rows of evacuated zones are always kept. */
	private static final int MAX_REMOVED = 200;

	private static final Comparator<ZoneRow> BY_AGE = Comparator.comparingLong(ZoneRow::era)
		.thenComparingLong(ZoneRow::version)
		.thenComparing(ZoneRow::evacuated);

	private static final EvacuationState EMPTY = new EvacuationState(Map.of(), List.of());

	/**
	 * Creates a state without the values that another router cannot have meant.
	 */
	public EvacuationState {
		TreeMap<Long, Long> eras = new TreeMap<>();
		orEmpty(readTo).forEach((era, version) -> {
			if (era != null && version != null) {
				eras.put(era, version);
			}
		});
		while (eras.size() > MAX_ERAS) {
			eras.pollFirstEntry();
		}
		readTo = Map.copyOf(eras);
		rows = newestByZone(orEmpty(rows));
	}

	/**
	 * Returns the state of a router that has never read the table.
	 * @return the state without knowledge
	 */
	public static EvacuationState empty() {
		return EMPTY;
	}

	/**
	 * Returns whether nothing is known.
	 * @return {@code true} if the table was never read, by this or another router
	 */
	public boolean unknown() {
		return this.readTo.isEmpty() && this.rows.isEmpty();
	}

	/**
	 * Returns the latest era in which the table was read.
	 * @return the era, -1 if the table was never read
	 */
	public long latestEra() {
		return this.readTo.keySet().stream().mapToLong(Long::longValue).max().orElse(-1);
	}

	/**
	 * Returns the newest row of each evacuated zone.
	 * @return the rows by zone, in the order of the zones
	 */
	public Map<String, ZoneRow> evacuated() {
		Map<String, ZoneRow> evacuated = new TreeMap<>();
		this.rows.stream().filter(ZoneRow::evacuated).forEach((row) -> evacuated.put(row.zone(), row));
		return evacuated;
	}

	/**
	 * Combines what two states know.
	 * @param other the other state
	 * @return the combined state
	 */
	public EvacuationState merge(EvacuationState other) {
		Map<Long, Long> eras = new HashMap<>(this.readTo);
		other.readTo.forEach((era, version) -> eras.merge(era, version, Math::max));
		Map<String, ZoneRow> own = byZone();
		Map<String, ZoneRow> others = other.byZone();
		Set<String> zones = new TreeSet<>(own.keySet());
		zones.addAll(others.keySet());
		List<ZoneRow> merged = new ArrayList<>();
		for (String zone : zones) {
			ZoneRow ownRow = own.get(zone);
			ZoneRow otherRow = others.get(zone);
			if (ownRow != null && (otherRow == null || BY_AGE.compare(ownRow, otherRow) > 0)) {
				merged.add(other.check(ownRow, otherRow));
			}
			else if (otherRow != null) {
				merged.add(check(otherRow, ownRow));
			}
		}
		return new EvacuationState(eras, merged);
	}

	// The row is newer than the one that this state has.
	private ZoneRow check(ZoneRow row, @Nullable ZoneRow known) {
		long read = this.readTo.getOrDefault(row.era(), -1L);
		boolean same = known != null && known.era() == row.era() && known.version() == row.version();
		boolean removed = row.evacuated() && !same && read >= row.version();
		return removed ? new ZoneRow(row.zone(), row.era(), read, false) : row;
	}

	private Map<String, ZoneRow> byZone() {
		Map<String, ZoneRow> byZone = new HashMap<>();
		this.rows.forEach((row) -> byZone.put(row.zone(), row));
		return byZone;
	}

	private static List<ZoneRow> newestByZone(List<@Nullable ZoneRow> rows) {
		Map<String, ZoneRow> newest = new TreeMap<>();
		for (ZoneRow row : rows) {
			if (row != null && row.zone() != null && !row.zone().isEmpty()) {
				newest.merge(row.zone(), row, (left, right) -> (BY_AGE.compare(left, right) >= 0) ? left : right);
			}
		}
		List<ZoneRow> removed = newest.values().stream().filter((row) -> !row.evacuated()).sorted(BY_AGE).toList();
		removed.subList(0, Math.max(0, removed.size() - MAX_REMOVED)).forEach((row) -> newest.remove(row.zone()));
		return List.copyOf(newest.values());
	}

	// Messages of other routers may lack a field.
	private static <K, V> Map<K, V> orEmpty(@Nullable Map<K, V> map) {
		return (map != null) ? map : Map.of();
	}

	private static <T> List<T> orEmpty(@Nullable List<T> list) {
		return (list != null) ? list : List.of();
	}

	/**
	 * The row of a zone in the table. Immutable.
	 *
	 * @param zone the name of the availability zone
	 * @param era the era of the store in which the row was read
	 * @param version the version of the row, or a version at which it was absent
	 * @param evacuated whether the row exists
	 */
	public record ZoneRow(String zone, long era, long version, boolean evacuated) {
	}

}
