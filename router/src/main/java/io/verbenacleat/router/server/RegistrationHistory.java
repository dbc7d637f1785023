package io.verbenacleat.router.server;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Tells registrations that are in force from those that the registry has performed late.
 * Confined to the control thread.
 * <p>
 * The registrations of one incarnation are ordered by their sequence. Renewals that
 * change nothing else may not be delivered, and some may be performed late, so a late
 * write may have a higher sequence than the last one that was received. After a removal,
 * it looks like the return of a server that was silent; only what follows tells the two
 * apart. A returning server renews its registration, so that the registry keeps it.
 */
final class RegistrationHistory {

	/** The registry performs a write at most this long after it was sent. */
	static final Duration MAX_WRITE_DELAY = Duration.ofSeconds(6);

	/** A removal and a late write reach the router with different delays. */
	private static final Duration DELIVERY_SLACK = Duration.ofMillis(500);

	/** The registry removes a registration after this many heartbeats without renewal. */
	private static final int MAX_MISSED_HEARTBEATS = 3;

	/**
	 * More than the servers that leave within {@link #MAX_WRITE_DELAY}, and within the
	 * age of a copy from which the registry is restored.
	 */
	private static final int MAX_REMOVED = 1_000;

	private final Duration heartbeat;

	/** The last removed incarnations, oldest first. */
	private final Map<BackendServer, Removal> removals = new LinkedHashMap<>();

	/**
	 * Creates an empty history.
	 * @param heartbeat how often servers renew their registrations
	 */
	RegistrationHistory(Duration heartbeat) {
		this.heartbeat = heartbeat;
	}

	/**
	 * Returns how long a registration that is not renewed stays registered at most.
	 * @return the duration until the router has received its removal
	 */
	Duration lapseTime() {
		return this.heartbeat.multipliedBy(MAX_MISSED_HEARTBEATS).plus(DELIVERY_SLACK);
	}

	/**
	 * Returns how long a registration that may be a late write has to stay registered
	 * until it is in force although no renewals were received. The registry would have
	 * removed it by then, even if it had performed the last late write in between.
	 * @param server the registration
	 * @param nowNanos the steady time
	 * @return the duration
	 */
	Duration confirmationTime(BackendServer server, long nowNanos) {
		Removal removal = this.removals.get(server.incarnationKey());
		if (removal == null) {
			return lapseTime();
		}
		long sinceNanos = nowNanos - removal.atNanos();
		return MAX_WRITE_DELAY.plus(lapseTime()).minusNanos(Math.min(sinceNanos, MAX_WRITE_DELAY.toNanos()));
	}

	/**
	 * Returns whether the registry holds an incarnation as removed.
	 * @param server any registration of the incarnation
	 * @return {@code true} from its removal until it is in force again
	 */
	boolean isRemoved(BackendServer server) {
		return this.removals.containsKey(server.incarnationKey());
	}

	/**
	 * Judges a registration that was received.
	 * @param registered the registration
	 * @param listed the registration in force under the same id, {@code null} for none
	 * @param nowNanos the steady time
	 * @return whether it is in force
	 */
	Verdict judge(BackendServer registered, @Nullable BackendServer listed, long nowNanos) {
		if (listed != null && listed.isSameIncarnation(registered)) {
			return isNewer(listed, registered) ? Verdict.OUTDATED : Verdict.IN_FORCE;
		}
		Removal removal = this.removals.get(registered.incarnationKey());
		if (removal != null) {
			return judgeReturn(registered, listed, removal, nowNanos);
		}
		// The clock of a host may step back between two incarnations, so the order of
		// their start times proves nothing.
		boolean startedEarlier = listed != null && registered.startedAtMs() < listed.startedAtMs();
		return startedEarlier ? Verdict.UNCONFIRMED : Verdict.IN_FORCE;
	}

	private static Verdict judgeReturn(BackendServer registered, @Nullable BackendServer listed, Removal removal,
			long nowNanos) {
		if (registered.sequence() == null || removal.server().sequence() == null) {
			return Verdict.IN_FORCE;
		}
		// A server that drains never becomes ready again.
		if (removal.server().draining()) {
			return Verdict.OUTDATED;
		}
		// A renewal of an outdated registration may not be delivered, either.
		if (listed != null || !isNewer(registered, removal.server())) {
			return Verdict.UNCONFIRMED;
		}
		boolean sentSince = nowNanos - removal.atNanos() > MAX_WRITE_DELAY.plus(DELIVERY_SLACK).toNanos();
		return (removal.lapsed() || sentSince) ? Verdict.IN_FORCE : Verdict.UNCONFIRMED;
	}

	/**
	 * Returns whether a registration follows another one of the same incarnation.
	 * @param registered the registration
	 * @param other the other one
	 * @return {@code false} also if one has no sequence
	 */
	static boolean isNewer(BackendServer registered, BackendServer other) {
		Long sequence = registered.sequence();
		Long otherSequence = other.sequence();
		return sequence != null && otherSequence != null && sequence > otherSequence;
	}

	/**
	 * Records that a registration is in force.
	 * @param server the registration
	 * @param previous the one before it under the same id, {@code null} for none
	 * @param nowNanos the steady time
	 */
	void onInForce(BackendServer server, @Nullable BackendServer previous, long nowNanos) {
		this.removals.remove(server.incarnationKey());
		if (previous != null && !previous.isSameIncarnation(server)) {
			remember(previous, false, nowNanos);
		}
	}

	/**
	 * Records a registration that is not confirmed.
	 * @param server the registration
	 */
	void onUnconfirmed(BackendServer server) {
		this.removals.computeIfPresent(server.incarnationKey(), (any, removal) -> isNewer(server, removal.server())
				? new Removal(server, removal.lapsed(), removal.atNanos()) : removal);
	}

	/**
	 * Records that a registration was removed.
	 * @param server the last registration in force
	 * @param lapsed whether it is known that the server has not left
	 * @param nowNanos the steady time
	 */
	void onRemoved(BackendServer server, boolean lapsed, long nowNanos) {
		remember(server, lapsed, nowNanos);
	}

	private void remember(BackendServer server, boolean lapsed, long nowNanos) {
		BackendServer key = server.incarnationKey();
		Removal before = this.removals.remove(key);
		BackendServer newest = (before != null && isNewer(before.server(), server)) ? before.server() : server;
		this.removals.put(key, new Removal(newest, lapsed, nowNanos));
		if (this.removals.size() > MAX_REMOVED) {
			this.removals.remove(this.removals.keySet().iterator().next());
		}
	}

	/**
	 * What is known of a registration that was received.
	 */
	enum Verdict {

		/** It describes the server as it is now. */
		IN_FORCE,

		/** The server has sent another one or was removed since. */
		OUTDATED,

		/** It may be a late write of a server that has left. */
		UNCONFIRMED

	}

	/**
	 * The removal of an incarnation. Immutable.
	 *
	 * @param server its registration with the highest sequence
	 * @param lapsed whether it lapsed while the server may have been running
	 * @param atNanos the steady time of the removal
	 */
	private record Removal(BackendServer server, boolean lapsed, long atNanos) {

	}

}
