package io.verbenacleat.router.server;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.router.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the registrations of backend servers and publishes a new list of servers
 * after each change. Confined to the control thread.
 * <p>
 * During an outage of the registry, registrations may lapse although their servers are
 * alive, and return soon after the outage. A registration that disappears right after an
 * outage is therefore kept for the grace period {@link #LAPSE_GRACE}. After that, the
 * registry is asked once more, since a return may not be known yet, and a registration
 * that is still missing in its next response is gone.
 * <p>
 * A registry that comes back from an older copy lists servers that have left, and lacks
 * new ones. A server that was draining stays draining for the rest of its incarnation,
 * and one that was removed stays removed until it registers again.
 */
public final class ServerDirectory {

	/** Registrations that lapsed during an outage return about two seconds after it. */
	static final Duration LAPSE_GRACE = Duration.ofMillis(2_000);

	/** More than the servers that leave within the age of a copy. */
	private static final int MAX_REMOVED = 1_000;

	private final ControlThread control;

	private final DecisionLog log;

	private final Consumer<ServerList> publisher;

	/** Asks the registry for its registrations. */
	private final Runnable recheck;

	private final Map<String, BackendServer> servers = new HashMap<>();

	/** The last removed incarnations, oldest first. */
	private final Set<BackendServer> removed = new LinkedHashSet<>();

	/** When each registration was received, by id. */
	private final Map<String, Long> receivedAtNanos = new HashMap<>();

	private final Map<String, Cancellable> gracePeriods = new TreeMap<>();

	/**
	 * Servers whose grace period has ended since the last response, a part of those with
	 * a grace period.
	 */
	private final Set<String> expired = new TreeSet<>();

	/**
	 * Creates a directory without servers.
	 * @param control the control thread
	 * @param log receives an event for each change
	 * @param publisher receives each new list
	 * @param recheck called when the registry should be asked for its registrations at
	 * once
	 */
	public ServerDirectory(ControlThread control, DecisionLog log, Consumer<ServerList> publisher, Runnable recheck) {
		this.control = control;
		this.log = log;
		this.publisher = publisher;
		this.recheck = recheck;
	}

	/**
	 * Replaces all registrations with the result of a full read.
	 * @param found the registrations by id
	 * @param afterOutage whether an outage of the registry has just ended
	 */
	public void replaceAll(Map<String, BackendServer> found, boolean afterOutage) {
		for (String id : Set.copyOf(this.servers.keySet())) {
			if (found.containsKey(id)) {
				continue;
			}
			if (afterOutage) {
				startGracePeriod(id);
			}
			else if (!this.gracePeriods.containsKey(id) || this.expired.contains(id)) {
				remove(id, "registration is gone");
			}
		}
		found.values().forEach(this::put);
		publish();
	}

	/**
	 * Replaces all registrations with those of a registry that came back from an older
	 * copy.
	 * @param found the registrations by id
	 */
	public void restore(Map<String, BackendServer> found) {
		Map<String, BackendServer> present = new HashMap<>(found);
		present.values().removeIf((server) -> this.removed.contains(server.incarnationKey()));
		replaceAll(present, true);
	}

	/**
	 * Applies a change of one registration.
	 * @param id the id of the server
	 * @param server the registration, {@code null} when it was removed
	 * @param afterOutage whether an outage of the registry has just ended
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
	 * Removes the servers whose grace period has ended. Called after each response of the
	 * registry, when its changes were applied.
	 */
	public void confirm() {
		if (this.expired.isEmpty()) {
			return;
		}
		List.copyOf(this.expired)
			.forEach((id) -> remove(id, "registration did not return after an outage of the registry"));
		publish();
	}

	/**
	 * Starts the grace periods anew, since registrations cannot return during an outage.
	 * Called when an outage of the registry has ended, before its changes are applied.
	 */
	public void onOutageEnded() {
		for (String id : List.copyOf(this.gracePeriods.keySet())) {
			cancelGracePeriod(id);
			scheduleEnd(id);
		}
	}

	/**
	 * Returns all servers, including those in a grace period.
	 * @return the servers, with the current age of their notices of warm-ups
	 */
	public Collection<BackendServer> all() {
		long nowNanos = this.control.nanoTime();
		return this.servers.values().stream().map((server) -> withCurrentAge(server, nowNanos)).toList();
	}

	private BackendServer withCurrentAge(BackendServer server, long nowNanos) {
		WarmUpNotice notice = server.warmUp();
		Long atNanos = (notice != null) ? this.receivedAtNanos.get(server.id()) : null;
		if (notice == null || atNanos == null) {
			return server;
		}
		long ageMs = Duration.ofNanos(nowNanos - atNanos).toMillis();
		return server.withWarmUp(new WarmUpNotice(notice.leftMs(), notice.ageMs() + ageMs));
	}

	// Each registration has its own timer, so that later lapses do not extend it.
	private void startGracePeriod(String id) {
		if (this.gracePeriods.containsKey(id)) {
			return;
		}
		this.log.event("server.lapsed").with("server", id).emit();
		scheduleEnd(id);
	}

	private void scheduleEnd(String id) {
		this.gracePeriods.put(id, this.control.schedule(LAPSE_GRACE, () -> {
			this.expired.add(id);
			this.recheck.run();
		}));
	}

	private void put(BackendServer registered) {
		cancelGracePeriod(registered.id());
		BackendServer known = this.servers.get(registered.id());
		boolean draining = known != null && known.draining() && known.isSameIncarnation(registered);
		BackendServer server = draining ? registered.asDraining() : registered;
		this.removed.remove(server.incarnationKey());
		BackendServer previous = this.servers.put(server.id(), server);
		this.receivedAtNanos.put(server.id(), this.control.nanoTime());
		// The remaining time of a warm-up changes with each renewal.
		if (previous == null || !previous.withWarmUp(null).equals(server.withWarmUp(null))) {
			this.log.event("server.registered")
				.with("server", server.id())
				.with("service", server.service())
				.with("started_at_ms", server.startedAtMs())
				.with("version", server.softwareVersion())
				.with("draining", server.draining())
				.emit();
		}
	}

	private void cancelGracePeriod(String id) {
		this.expired.remove(id);
		Cancellable timer = this.gracePeriods.remove(id);
		if (timer != null) {
			timer.cancel();
		}
	}

	private void remove(String id, String reason) {
		cancelGracePeriod(id);
		BackendServer server = this.servers.remove(id);
		this.receivedAtNanos.remove(id);
		if (server != null) {
			this.removed.add(server.incarnationKey());
			if (this.removed.size() > MAX_REMOVED) {
				this.removed.remove(this.removed.iterator().next());
			}
			this.log.event("server.removed").with("server", id).with("reason", reason).emit();
		}
	}

	private void publish() {
		this.publisher.accept(ServerList.of(all()));
	}

}
