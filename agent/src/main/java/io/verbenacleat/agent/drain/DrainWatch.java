package io.verbenacleat.agent.drain;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.DrainRow;
import io.verbenacleat.core.platform.HostEntry;
import io.verbenacleat.core.platform.HostList;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import org.jspecify.annotations.Nullable;

/**
 * Updates the drain state from the drain row of the backend server and from the entry of
 * this host in the platform's host list. Must be used on the control thread.
 */
public final class DrainWatch implements AutoCloseable {

	/**
	 * Equals the polling interval of topics. A drain must take effect within 3 s.
	 */
	private static final Duration HOST_LIST_INTERVAL = Duration.ofSeconds(2);

	private final ControlThread control;

	private final TableStore store;

	private final HostList hosts;

	private final DrainState state;

	private final String server;

	private final String host;

	private long appliedRowVersion;

	private boolean hostReadInFlight;

	private @Nullable Cancellable timer;

	/**
	 * Creates a watch that does not poll the host list until {@link #start} is called.
	 * @param control the control thread
	 * @param store the table store
	 * @param hosts the host list
	 * @param state the drain state to update
	 * @param server the name of the backend server
	 * @param host the IP address of this host
	 */
	public DrainWatch(ControlThread control, TableStore store, HostList hosts, DrainState state, String server,
			String host) {
		this.control = control;
		this.store = store;
		this.hosts = hosts;
		this.state = state;
		this.server = server;
		this.host = host;
	}

	/**
	 * Reads the host list now and then at a fixed interval.
	 */
	public void start() {
		this.timer = this.control.scheduleWithFixedDelay(HOST_LIST_INTERVAL, this::readHosts);
		readHosts();
	}

	/**
	 * Reads the drain row and applies it.
	 * @return a future that completes when the row is applied
	 */
	public CompletableFuture<?> readDrainRow() {
		return this.store.read(DrainRow.key(this.server)).thenAcceptAsync(this::apply, this.control);
	}

	@Override
	public void close() {
		if (this.timer != null) {
			this.timer.cancel();
		}
	}

	private void apply(Row row) {
		if (row.version() < this.appliedRowVersion) {
			return;
		}
		this.appliedRowVersion = row.version();
		try {
			boolean draining = row.exists() && Json.read(row.json(), DrainRow.class).draining();
			this.state.set(DrainReason.OPERATOR, draining);
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException("The row " + row.key() + " is malformed", ex);
		}
	}

	private void readHosts() {
		if (this.hostReadInFlight) {
			return;
		}
		this.hostReadInFlight = true;
		this.hosts.hosts().whenCompleteAsync((entries, failure) -> {
			this.hostReadInFlight = false;
			if (entries != null) {
				apply(entries);
			}
		}, this.control);
	}

	private void apply(List<HostEntry> entries) {
		boolean leaving = entries.stream()
			.anyMatch((entry) -> entry.host().equals(this.host) && entry.state() == HostEntry.State.LEAVING);
		this.state.set(DrainReason.HOST_LEAVING, leaving);
	}

}
