package io.verbenacleat.router.server;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.router.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Follows the registrations of backend servers and publishes the list of those that may
 * be used. Used on the control thread.
 * <p>
 * A registration may lapse while the registry is away, although its server lives, and
 * comes back soon after. One that is missing in the first full read after an outage
 * therefore stays for {@link #LAPSE_GRACE}.
 */
public final class ServerDirectory {

	/** Registrations that lapsed in an outage are back about two seconds after it. */
	static final Duration LAPSE_GRACE = Duration.ofMillis(2_000);

	private final ControlThread control;

	private final DecisionLog log;

	private final Consumer<ServerList> publisher;

	private final Map<String, BackendServer> servers = new HashMap<>();

	private final Map<String, Cancellable> gracePeriods = new TreeMap<>();

	/**
	 * Creates a directory without servers.
	 * @param control the control thread
	 * @param log gets a line for each change
	 * @param publisher takes each new list
	 */
	public ServerDirectory(ControlThread control, DecisionLog log, Consumer<ServerList> publisher) {
		this.control = control;
		this.log = log;
		this.publisher = publisher;
	}

	/**
	 * Takes the result of a full read.
	 * @param found the registrations by id
	 * @param afterOutage whether the registry was away before
	 */
	public void replaceAll(Map<String, BackendServer> found, boolean afterOutage) {
		for (String id : Set.copyOf(this.servers.keySet())) {
			if (found.containsKey(id)) {
				continue;
			}
			if (afterOutage) {
				startGracePeriod(id);
			}
			else if (!this.gracePeriods.containsKey(id)) {
				remove(id, "registration is gone");
			}
		}
		found.values().forEach(this::put);
		publish();
	}

	/**
	 * Takes one change.
	 * @param id the id of the server
	 * @param server the registration, {@code null} when it is gone
	 * @param afterOutage whether the registry was away shortly before
	 */
	public void update(String id, @Nullable BackendServer server, boolean afterOutage) {
		if (server != null) {
			put(server);
		}
		else if (afterOutage && this.servers.containsKey(id)) {
			startGracePeriod(id);
		}
		else {
			remove(id, "registration is gone");
		}
		publish();
	}

	/**
	 * Returns the servers, those included whose registration has lapsed.
	 * @return the servers
	 */
	public Collection<BackendServer> all() {
		return List.copyOf(this.servers.values());
	}

	// Each registration has its own time, so that later ones do not extend it.
	private void startGracePeriod(String id) {
		if (this.gracePeriods.containsKey(id)) {
			return;
		}
		this.log.event("server.lapsed").with("server", id).emit();
		this.gracePeriods.put(id, this.control.schedule(LAPSE_GRACE, () -> {
			remove(id, "registration did not come back after an outage of the registry");
			publish();
		}));
	}

	private void put(BackendServer server) {
		cancelGracePeriod(server.id());
		BackendServer before = this.servers.put(server.id(), server);
		if (before == null || !before.equals(server)) {
			this.log.event("server.registered")
				.with("server", server.id())
				.with("service", server.service())
				.with("started_at_ms", server.startedAtMs())
				.with("draining", server.draining())
				.emit();
		}
	}

	private void cancelGracePeriod(String id) {
		Cancellable timer = this.gracePeriods.remove(id);
		if (timer != null) {
			timer.cancel();
		}
	}

	private void remove(String id, String reason) {
		cancelGracePeriod(id);
		if (this.servers.remove(id) != null) {
			this.log.event("server.removed").with("server", id).with("reason", reason).emit();
		}
	}

	private void publish() {
		this.publisher.accept(ServerList.of(this.servers.values()));
	}

}
