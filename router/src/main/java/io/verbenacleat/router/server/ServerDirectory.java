package io.verbenacleat.router.server;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
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
 * <p>
 * The registry may perform a write seconds after it was sent, also after a later one or
 * after the removal of the registration. {@link RegistrationHistory} finds those. A
 * registration that may be one is held back until the registry has kept it for longer
 * than it keeps registrations that are not renewed.
 */
public final class ServerDirectory {

	/** Registrations that lapsed during an outage return about two seconds after it. */
	static final Duration LAPSE_GRACE = Duration.ofMillis(2_000);

	private final ControlThread control;

	private final DecisionLog log;

	private final Consumer<ServerList> publisher;

	/** Asks the registry for its registrations. */
	private final Runnable recheck;

	private final Map<String, BackendServer> servers = new HashMap<>();

	private final RegistrationHistory history;

	/** The registrations that are not confirmed, by id. */
	private final Map<String, HeldRegistration> heldBack = new TreeMap<>();

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
	 * @param heartbeat how often servers renew their registrations
	 */
	public ServerDirectory(ControlThread control, DecisionLog log, Consumer<ServerList> publisher, Runnable recheck,
			Duration heartbeat) {
		this.control = control;
		this.log = log;
		this.publisher = publisher;
		this.recheck = recheck;
		this.history = new RegistrationHistory(heartbeat);
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
				remove(id, "registration is gone", this.gracePeriods.containsKey(id));
			}
		}
		Set.copyOf(this.heldBack.keySet())
			.stream()
			.filter((id) -> !found.containsKey(id))
			.forEach(this::removeHeldBack);
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
		present.values().removeIf(this.history::isRemoved);
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
		else {
			drop(id, "registration is gone", afterOutage, false);
		}
		publish();
	}

	/**
	 * Stops using a server whose registration was overwritten with one that cannot be
	 * used. The server has not left, and is used again when it renews its registration.
	 * @param id the id of the server
	 * @param afterOutage whether an outage of the registry has just ended
	 */
	public void onUnusable(String id, boolean afterOutage) {
		boolean listed = this.servers.containsKey(id);
		drop(id, "registration is unusable", afterOutage, true);
		if (listed) {
			publish();
		}
	}

	private void drop(String id, String reason, boolean afterOutage, boolean lapsed) {
		removeHeldBack(id);
		if (afterOutage && this.servers.containsKey(id)) {
			startGracePeriod(id);
		}
		else {
			remove(id, reason, lapsed);
		}
	}

	/**
	 * Removes the servers whose grace period has ended, and uses the registrations that
	 * were held back and are confirmed. Called after each response of the registry, when
	 * its changes were applied.
	 */
	public void confirm() {
		List<BackendServer> confirmed = this.heldBack.values()
			.stream()
			.filter(HeldRegistration::isDue)
			.map(HeldRegistration::server)
			.toList();
		if (this.expired.isEmpty() && confirmed.isEmpty()) {
			return;
		}
		List.copyOf(this.expired)
			.forEach((id) -> remove(id, "registration did not return after an outage of the registry", true));
		confirmed.forEach(this::accept);
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
		HeldRegistration overwritten = this.heldBack.get(registered.id());
		if (overwritten != null && !overwritten.server().isSameIncarnation(registered)) {
			discardHeldBack(registered.id());
		}
		switch (this.history.judge(registered, this.servers.get(registered.id()), this.control.nanoTime())) {
			case IN_FORCE -> accept(registered);
			case OUTDATED -> logNotUsed(registered, "outdated");
			case UNCONFIRMED -> holdBack(registered);
		}
	}

	private void holdBack(BackendServer registered) {
		String id = registered.id();
		HeldRegistration held = this.heldBack.get(id);
		long nowNanos = this.control.nanoTime();
		if (held == null) {
			held = new HeldRegistration(registered, nowNanos);
			this.heldBack.put(id, held);
		}
		else if (!held.renew(registered)) {
			return;
		}
		this.history.onUnconfirmed(registered);
		logNotUsed(registered, "unconfirmed");
		if (held.isConfirmed(this.history.lapseTime(), nowNanos)) {
			accept(registered);
			return;
		}
		HeldRegistration waiting = held;
		held.startTimer(this.control.schedule(this.history.confirmationTime(registered, nowNanos), () -> {
			waiting.setDue();
			this.recheck.run();
		}));
	}

	private void removeHeldBack(String id) {
		HeldRegistration held = this.heldBack.get(id);
		if (held != null) {
			discardHeldBack(id);
			this.history.onRemoved(held.server(), false, this.control.nanoTime());
		}
	}

	private void discardHeldBack(String id) {
		HeldRegistration held = this.heldBack.remove(id);
		if (held != null) {
			held.cancel();
		}
	}

	private void logNotUsed(BackendServer registered, String reason) {
		Long sequence = registered.sequence();
		this.log.event("server.registration_not_used")
			.with("server", registered.id())
			.with("started_at_ms", registered.startedAtMs())
			.with("sequence", (sequence != null) ? sequence : -1)
			.with("draining", registered.draining())
			.with("reason", reason)
			.emit();
	}

	private void accept(BackendServer registered) {
		discardHeldBack(registered.id());
		cancelGracePeriod(registered.id());
		BackendServer known = this.servers.get(registered.id());
		boolean draining = known != null && known.draining() && known.isSameIncarnation(registered);
		BackendServer server = draining ? registered.asDraining() : registered;
		BackendServer previous = this.servers.put(server.id(), server);
		this.receivedAtNanos.put(server.id(), this.control.nanoTime());
		this.history.onInForce(server, previous, this.control.nanoTime());
		// The remaining time of a warm-up and the sequence change with each renewal.
		if (previous == null || !withoutRenewal(previous).equals(withoutRenewal(server))) {
			this.log.event("server.registered")
				.with("server", server.id())
				.with("service", server.service())
				.with("started_at_ms", server.startedAtMs())
				.with("version", server.softwareVersion())
				.with("draining", server.draining())
				.emit();
		}
	}

	private static BackendServer withoutRenewal(BackendServer server) {
		return server.withWarmUp(null).withSequence(null);
	}

	private void cancelGracePeriod(String id) {
		this.expired.remove(id);
		Cancellable timer = this.gracePeriods.remove(id);
		if (timer != null) {
			timer.cancel();
		}
	}

	private void remove(String id, String reason, boolean lapsed) {
		cancelGracePeriod(id);
		BackendServer server = this.servers.remove(id);
		this.receivedAtNanos.remove(id);
		if (server != null) {
			this.history.onRemoved(server, lapsed, this.control.nanoTime());
			this.log.event("server.removed").with("server", id).with("reason", reason).emit();
		}
	}

	private void publish() {
		this.publisher.accept(ServerList.of(all()));
	}

}
