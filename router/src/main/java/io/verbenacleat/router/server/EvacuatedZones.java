package io.verbenacleat.router.server;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.verbenacleat.router.log.DecisionLog;

/**
 * The availability zones whose servers get no new requests, as the operator has asked.
 * Keeps the newest of what the store and other routers say, and publishes each change.
 * Confined to the control thread.
 */
public final class EvacuatedZones {

	private static final String STORE = "store";

	private final DecisionLog log;

	private final Consumer<Set<String>> publisher;

	private EvacuationState state = EvacuationState.empty();

	/**
	 * Creates an instance that knows nothing.
	 * @param log receives a line for each change of a zone
	 * @param publisher receives the evacuated zones after each change
	 */
	public EvacuatedZones(DecisionLog log, Consumer<Set<String>> publisher) {
		this.log = log;
		this.publisher = publisher;
	}

	/**
	 * Applies what was read from the store.
	 * @param read the state of the table
	 * @return whether other routers should exchange their states with this one: the zones
	 * have changed, or a store that came back from a copy was read for the first time, so
	 * that others may know rows that it has lost
	 */
	public boolean onStoreRead(EvacuationState read) {
		long eraBefore = this.state.latestEra();
		boolean changed = apply(read, STORE);
		return changed || (this.state.latestEra() > Math.max(0, eraBefore));
	}

	/**
	 * Applies the state of another router.
	 * @param received the state
	 * @param peer the address of the router
	 * @return whether the zones have changed, so that other routers should know
	 */
	public boolean onPeerState(EvacuationState received, String peer) {
		return apply(received, peer);
	}

	private boolean apply(EvacuationState update, String source) {
		EvacuationState before = this.state;
		this.state = before.merge(update);
		Map<String, EvacuationState.ZoneRow> zonesBefore = before.evacuated();
		Map<String, EvacuationState.ZoneRow> zones = this.state.evacuated();
		boolean eraBegan = before.latestEra() >= 0 && this.state.latestEra() > before.latestEra();
		zones.forEach((zone, row) -> {
			if (!zonesBefore.containsKey(zone)) {
				log("zone.evacuated", row, source);
			}
			else if (eraBegan && row.era() < this.state.latestEra()) {
				log("zone.evacuation_kept", row, source);
			}
		});
		this.state.rows().forEach((row) -> {
			if (zonesBefore.containsKey(row.zone()) && !row.evacuated()) {
				log("zone.back", row, source);
			}
		});
		boolean changed = !zones.keySet().equals(zonesBefore.keySet());
		if (changed) {
			this.publisher.accept(zones());
		}
		return changed;
	}

	private void log(String event, EvacuationState.ZoneRow row, String source) {
		this.log.event(event)
			.with("zone", row.zone())
			.with("era", row.era())
			.with("version", row.version())
			.with("source", source)
			.emit();
	}

	/**
	 * Returns the evacuated zones.
	 * @return an unmodifiable set
	 */
	public Set<String> zones() {
		return Set.copyOf(this.state.evacuated().keySet());
	}

	/**
	 * Returns all that is known, for other routers.
	 * @return the state
	 */
	public EvacuationState state() {
		return this.state;
	}

}
