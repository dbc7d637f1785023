package io.verbenacleat.agent;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ZoneMembers;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;

/**
 * Tracks the members of the fleet by the member rows that were read since this agent
 * registered. Must be used on the control thread, except {@link #hasMembers}.
 */
final class MemberWatch {

	private final ControlThread control;

	private final TableStore store;

	private final Map<String, Row> rowsByKey = new HashMap<>();

	private volatile Set<String> incarnations = Set.of();

	MemberWatch(ControlThread control, TableStore store) {
		this.control = control;
		this.store = store;
	}

	/**
	 * Returns whether a process is a member.
	 * @param incarnation the incarnation of the process
	 * @return {@code true} when a member row lists it
	 */
	boolean contains(String incarnation) {
		return this.incarnations.contains(incarnation);
	}

	/**
	 * Returns whether any members were read; may be called from any thread.
	 * @return {@code true} when a member row lists a process
	 */
	boolean hasMembers() {
		return !this.incarnations.isEmpty();
	}

	/**
	 * Reads the member row of a zone and applies it.
	 * @param key the key of the member row
	 * @return a future that completes when the row is applied
	 */
	CompletableFuture<?> read(String key) {
		return this.store.read(key).thenAcceptAsync(this::apply, this.control);
	}

	private void apply(Row row) {
		Row previous = this.rowsByKey.get(row.key());
		if (!row.exists() || (previous != null && previous.version() >= row.version())) {
			return;
		}
		this.rowsByKey.put(row.key(), row);
		Set<String> listed = new HashSet<>();
		for (Row zoneRow : this.rowsByKey.values()) {
			try {
				Json.read(zoneRow.json(), ZoneMembers.class)
					.members()
					.stream()
					.map(Member::incarnation)
					.forEach(listed::add);
			}
			catch (JsonFormatException ex) {
				throw new IllegalStateException("The row " + zoneRow.key() + " is malformed", ex);
			}
		}
		this.incarnations = listed;
	}

}
