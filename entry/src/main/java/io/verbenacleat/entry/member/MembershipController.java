package io.verbenacleat.entry.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.head.HeadPoller;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.core.member.ZoneMembers;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.entry.EntryBoard;

/**
 * Keeps {@link EntryBoard#MEMBERS} up to date, one availability zone at a time. Used on
 * the control thread.
 */
public final class MembershipController {

	private final TableStore store;

	private final ControlThread control;

	private final Blackboard blackboard;

	private final Map<String, ZoneMembers> zones = new TreeMap<>();

	private final Map<String, Long> versions = new TreeMap<>();

	/**
	 * Creates a controller and sets it as the reader of its topics.
	 * @param store the table store
	 * @param control the control thread
	 * @param blackboard the blackboard of the entry
	 * @param poller the poller
	 */
	public MembershipController(TableStore store, ControlThread control, Blackboard blackboard, HeadPoller poller) {
		this.store = store;
		this.control = control;
		this.blackboard = blackboard;
		poller.onTopic(ZoneMembers.KEY_PREFIX, this::read);
	}

	private CompletableFuture<?> read(String topic) {
		return this.store.read(topic).thenAcceptAsync(this::publish, this.control);
	}

	private void publish(Row row) {
		if (!row.exists() || row.version() <= this.versions.getOrDefault(row.key(), 0L)) {
			return;
		}
		try {
			this.zones.put(row.key(), Json.read(row.json(), ZoneMembers.class));
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException("The row " + row.key() + " has a wrong form", ex);
		}
		this.versions.put(row.key(), row.version());
		List<Member> all = new ArrayList<>();
		this.zones.values().stream().map(ZoneMembers::members).flatMap(Collection::stream).forEach(all::add);
		this.blackboard.write(EntryBoard.MEMBERS, new Membership(all));
	}

}
