package io.verbenacleat.entry.member;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.head.HeadPoller;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.DrainRow;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.entry.EntryStateKeys;

/**
 * Updates {@link EntryStateKeys#DRAINED_SERVERS} from the drain rows. Confined to the
 * control thread.
 */
public final class DrainController {

	/** Exceeds the number of backend servers of an office. */
	private static final int MAX_ROWS = 1_000;

	private final TableStore store;

	private final ControlThread control;

	private final Blackboard blackboard;

	/**
	 * Creates a controller and registers it as the reader of the drain topic.
	 * @param store the table store
	 * @param control the control thread
	 * @param blackboard the blackboard to update
	 * @param poller the poller of topic versions
	 */
	public DrainController(TableStore store, ControlThread control, Blackboard blackboard, HeadPoller poller) {
		this.store = store;
		this.control = control;
		this.blackboard = blackboard;
		poller.onTopic(Head.DRAIN, (topic) -> read());
	}

	private CompletableFuture<?> read() {
		return this.store.scan(DrainRow.KEY_PREFIX, "", MAX_ROWS).thenAcceptAsync(this::publish, this.control);
	}

	private void publish(List<Row> rows) {
		Set<String> drained = new TreeSet<>();
		for (Row row : rows) {
			try {
				if (Json.read(row.json(), DrainRow.class).draining()) {
					drained.add(row.key().substring(DrainRow.KEY_PREFIX.length()));
				}
			}
			catch (JsonFormatException ex) {
				throw new IllegalStateException("The row " + row.key() + " is malformed", ex);
			}
		}
		this.blackboard.write(EntryStateKeys.DRAINED_SERVERS, Set.copyOf(drained));
	}

}
