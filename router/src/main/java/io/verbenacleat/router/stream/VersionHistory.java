package io.verbenacleat.router.stream;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The software versions of one service that serve now or served of late, as routers have
 * seen them. Times are those of the store. Immutable.
 *
 * @param era the era of the store in which the history was written
 * @param incompleteUntilMs until when other versions may have served, in milliseconds; 0
 * if the history is complete
 * @param changedAtMs when the versions changed last, in milliseconds
 * @param serving the versions of the registered servers
 * @param endedAtMs when the last server of each other version had left, in milliseconds
 */
record VersionHistory(long era, long incompleteUntilMs, long changedAtMs, Set<String> serving,
		Map<String, Long> endedAtMs) {

	VersionHistory {
		serving = Set.copyOf(serving);
		endedAtMs = Map.copyOf(endedAtMs);
	}

	static VersionHistory empty(long era) {
		return new VersionHistory(era, 0, 0, Set.of(), Map.of());
	}

	/**
	 * Returns the history after the list of servers has changed.
	 * @param listed the versions of the registered servers
	 * @param nowMs the time
	 * @param horizon versions that ended longer ago are dropped
	 * @return the history
	 */
	VersionHistory withServing(Set<String> listed, long nowMs, Duration horizon) {
		Map<String, Long> ended = new TreeMap<>(this.endedAtMs);
		this.serving.forEach((version) -> ended.put(version, nowMs));
		ended.keySet().removeAll(listed);
		ended.values().removeIf((endMs) -> isOver(endMs, nowMs, horizon));
		boolean changed = !listed.equals(this.serving) || !ended.keySet().equals(this.endedAtMs.keySet());
		return new VersionHistory(this.era, this.incompleteUntilMs, changed ? nowMs : this.changedAtMs, listed, ended);
	}

	/**
	 * Returns the union with another history of the same service, in a new era, of which
	 * nobody knows whether it lacks versions.
	 * @param other the other history
	 * @param newEra the era
	 * @param nowMs the time
	 * @return the history
	 */
	VersionHistory mergeIncomplete(VersionHistory other, long newEra, long nowMs) {
		Map<String, Long> ended = new TreeMap<>(this.endedAtMs);
		other.endedAtMs.forEach((version, endMs) -> ended.merge(version, endMs, Math::max));
		Set<String> all = new TreeSet<>(this.serving);
		all.addAll(other.serving);
		return new VersionHistory(newEra, nowMs, nowMs, all, ended);
	}

	/**
	 * Returns the version that began each stream that may still be resumed.
	 * @param nowMs the time
	 * @param horizon the time after which no stream of a version that has left is resumed
	 * @return the version, empty if several may have begun streams
	 */
	Optional<String> onlyVersion(long nowMs, Duration horizon) {
		if (!isOver(this.incompleteUntilMs, nowMs, horizon)) {
			return Optional.empty();
		}
		Set<String> recent = recentVersions(nowMs, horizon);
		return (recent.size() == 1) ? Optional.of(recent.iterator().next()) : Optional.empty();
	}

	/**
	 * Returns the versions that are named and whose streams may still be resumed.
	 * @param nowMs the time
	 * @param horizon the time after which no stream of a version that has left is resumed
	 * @return the versions
	 */
	Set<String> recentVersions(long nowMs, Duration horizon) {
		Set<String> recent = new TreeSet<>(this.serving);
		this.endedAtMs.forEach((version, endMs) -> {
			if (!isOver(endMs, nowMs, horizon)) {
				recent.add(version);
			}
		});
		return recent;
	}

	/**
	 * Returns whether a version serves or served of late.
	 * @param version the version
	 * @return {@code false} if no stream of it may have been begun, as far as is known
	 */
	boolean names(String version) {
		return this.serving.contains(version) || this.endedAtMs.containsKey(version);
	}

	private static boolean isOver(long endMs, long nowMs, Duration horizon) {
		return endMs == 0 || nowMs - endMs >= horizon.toMillis();
	}

}
