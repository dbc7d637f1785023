package io.verbenacleat.router.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerList;
import org.jspecify.annotations.Nullable;

/**
 * Chooses backend servers by what this router has seen of them. Not safe for use by
 * several threads.
 */
public final class ServerStates {

	/** Bounds the memory; a fleet of 600 servers is replaced some times a day. */
	private static final int MAX_UNLISTED = 4_096;

	private final String zone;

	private final SelectionPolicy plainPolicy;

	private final SelectionPolicy affinityPolicy;

	private final Map<String, ServerState> states = new HashMap<>();

	/**
	 * What unlisted incarnations said of themselves. A registration may lapse and come
	 * back, or an older list may be read.
	 */
	private final Map<BackendServer, ServerState> unlisted = new LinkedHashMap<>();

	private ServerList servers = ServerList.empty();

	/**
	 * Creates states without servers.
	 * @param zone the availability zone of this router
	 * @param plainPolicy chooses among the servers of plain services
	 * @param affinityPolicy chooses among the servers of model services
	 */
	public ServerStates(String zone, SelectionPolicy plainPolicy, SelectionPolicy affinityPolicy) {
		this.zone = zone;
		this.plainPolicy = plainPolicy;
		this.affinityPolicy = affinityPolicy;
	}

	/**
	 * Takes a new list of servers; what was seen of earlier incarnations is dropped.
	 * @param list the list
	 * @return the states that were dropped
	 */
	public List<ServerState> update(ServerList list) {
		this.servers = list;
		List<ServerState> dropped = new ArrayList<>();
		Map<String, BackendServer> byId = new HashMap<>();
		list.all().forEach((server) -> byId.put(server.id(), server));
		this.states.values().removeIf((state) -> {
			BackendServer server = byId.get(state.server().id());
			boolean gone = server == null || !server.isSameIncarnation(state.server());
			if (gone) {
				dropped.add(state);
				retain(state);
			}
			return gone;
		});
		return dropped;
	}

	/**
	 * Returns the state of a server.
	 * @param server the server
	 * @return the state, created at its first use
	 */
	public ServerState state(BackendServer server) {
		return this.states.computeIfAbsent(server.id(), (any) -> {
			ServerState known = this.unlisted.remove(server.incarnationKey());
			return (known != null) ? known : new ServerState(server);
		});
	}

	private void retain(ServerState state) {
		this.unlisted.put(state.server().incarnationKey(), state);
		if (this.unlisted.size() > MAX_UNLISTED) {
			this.unlisted.remove(this.unlisted.keySet().iterator().next());
		}
	}

	/**
	 * Returns all states.
	 * @return the states
	 */
	public Collection<ServerState> all() {
		return this.states.values();
	}

	/**
	 * Returns the servers of a service that may be sent new requests.
	 * @param service the name of the service
	 * @return the servers
	 */
	public List<BackendServer> usable(String service) {
		return this.servers.usable(service);
	}

	/**
	 * Returns whether a server is still listed in the same incarnation.
	 * @param server the server
	 * @return {@code true} when it is
	 */
	public boolean isListed(BackendServer server) {
		@Nullable
		ServerState state = this.states.get(server.id());
		return state != null && state.server().isSameIncarnation(server);
	}

	/**
	 * Returns when a service takes requests again whose servers all asked for a pause.
	 * @param service the name of the service
	 * @param nowMs the steady time in milliseconds
	 * @return the shortest pause left in milliseconds, 0 when no server is paused or one
	 * takes requests
	 */
	public long remainingPauseMs(String service, long nowMs) {
		long shortestMs = Long.MAX_VALUE;
		for (BackendServer server : this.servers.usable(service)) {
			ServerState state = state(server);
			if (!state.isLeaving()) {
				shortestMs = Math.min(shortestMs, state.remainingPauseMs(nowMs));
			}
		}
		return (shortestMs == Long.MAX_VALUE) ? 0 : shortestMs;
	}

	/**
	 * Returns whether a server may be sent a request and seems to be well.
	 * @param service the name of the service
	 * @param excluded the ids of servers that the request was sent to
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} when there is one
	 */
	public boolean hasAvailableServer(String service, Set<String> excluded, long nowMs) {
		return this.servers.usable(service)
			.stream()
			.filter((server) -> !excluded.contains(server.id()))
			.map(this::state)
			.anyMatch((state) -> state.acceptsRequests(nowMs) && state.isAvailable(nowMs));
	}

	/**
	 * Chooses a server.
	 * @param service the name of the service
	 * @param modelService whether the service runs language models
	 * @param affinityKey what requests with a common prompt share, 0 without one
	 * @param excluded the ids of servers that the request was sent to
	 * @param nowMs the steady time in milliseconds
	 * @return the state of a server, empty when none may be used
	 */
	public Optional<ServerState> select(String service, boolean modelService, long affinityKey, Set<String> excluded,
			long nowMs) {
		List<Candidate> available = new ArrayList<>();
		List<Candidate> suspended = new ArrayList<>();
		for (BackendServer server : this.servers.usable(service)) {
			if (excluded.contains(server.id())) {
				continue;
			}
			ServerState state = state(server);
			if (!state.acceptsRequests(nowMs)) {
				continue;
			}
			(state.isAvailable(nowMs) ? available : suspended).add(state.toCandidate(this.zone));
		}
		// A suspended server may have recovered; that is better than a sure refusal.
		List<Candidate> candidates = available.isEmpty() ? suspended : available;
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		Candidate selected = (modelService ? this.affinityPolicy : this.plainPolicy).select(candidates, affinityKey);
		return Optional.of(state(selected.server()));
	}

}
