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
 * Tracks the state of each listed backend server and selects servers for requests. Not
 * safe for use by several threads.
 */
public final class ServerStates {

	/**
	 * Maximum number of retained states of unlisted incarnations, which bounds the
	 * memory. A fleet of 600 servers is replaced several times a day.
	 */
	private static final int MAX_UNLISTED = 4_096;

	private final String zone;

	private final SelectionPolicy plainPolicy;

	private final SelectionPolicy affinityPolicy;

	private final PermitSchedule schedule;

	private final Map<String, ServerState> states = new HashMap<>();

	/** The means of the requests, by service. */
	private final Map<String, RequestTimes> times = new HashMap<>();

	/**
	 * States of unlisted incarnations, in the order of their removal. They are restored
	 * when a lapsed registration returns or an older list is read, so that notices of
	 * leaving and pauses remain valid.
	 */
	private final Map<BackendServer, ServerState> unlisted = new LinkedHashMap<>();

	private ServerList servers = ServerList.empty();

	/**
	 * Creates an instance without servers.
	 * @param zone the availability zone of this router
	 * @param plainPolicy selects among the servers of plain services
	 * @param affinityPolicy selects among the servers of model services
	 * @param schedule the schedule of permits for servers that limit requests
	 */
	public ServerStates(String zone, SelectionPolicy plainPolicy, SelectionPolicy affinityPolicy,
			PermitSchedule schedule) {
		this.zone = zone;
		this.plainPolicy = plainPolicy;
		this.affinityPolicy = affinityPolicy;
		this.schedule = schedule;
	}

	/**
	 * Replaces the list of servers and unlists the states of incarnations that are not in
	 * it.
	 * @param list the new list
	 * @return the states that were unlisted
	 */
	public List<ServerState> update(ServerList list) {
		this.servers = list;
		List<ServerState> dropped = new ArrayList<>();
		Map<String, BackendServer> byId = new HashMap<>();
		list.all().forEach((server) -> byId.put(server.id(), server));
		this.states.values().removeIf((state) -> {
			BackendServer server = byId.get(state.server().id());
			boolean removed = server == null || !server.isSameIncarnation(state.server());
			if (removed) {
				dropped.add(state);
				retain(state);
			}
			return removed;
		});
		return dropped;
	}

	/**
	 * Returns the state of a server.
	 * @param server the server
	 * @return the state, created on first use
	 */
	public ServerState state(BackendServer server) {
		return this.states.computeIfAbsent(server.id(), (any) -> {
			ServerState retained = this.unlisted.remove(server.incarnationKey());
			return (retained != null) ? retained : new ServerState(server, this.schedule,
					this.times.computeIfAbsent(server.service(), (service) -> new RequestTimes()));
		});
	}

	private void retain(ServerState state) {
		this.unlisted.put(state.server().incarnationKey(), state);
		if (this.unlisted.size() > MAX_UNLISTED) {
			this.unlisted.remove(this.unlisted.keySet().iterator().next());
		}
	}

	/**
	 * Returns the states created so far, without those of unlisted incarnations.
	 * @return the states
	 */
	public Collection<ServerState> all() {
		return this.states.values();
	}

	/**
	 * Returns the servers of a service that are neither draining nor in an evacuated
	 * zone.
	 * @param service the name of the service
	 * @return the servers
	 */
	public List<BackendServer> usable(String service) {
		return this.servers.usable(service);
	}

	/**
	 * Returns whether an incarnation of a server has a state and is still listed.
	 * @param server the server
	 * @return {@code true} if the incarnation is listed
	 */
	public boolean isListed(BackendServer server) {
		@Nullable
		ServerState state = this.states.get(server.id());
		return state != null && state.server().isSameIncarnation(server);
	}

	/**
	 * Returns whether a server is in an evacuated zone and must not be sent anything.
	 * @param server the server
	 * @return {@code true} if its zone is evacuated
	 */
	public boolean isEvacuated(BackendServer server) {
		return this.servers.isEvacuated(server);
	}

	/**
	 * Returns whether servers of a service are left out because their zone is evacuated.
	 * @param service the name of the service
	 * @return {@code true} if there is such a server
	 */
	public boolean isReduced(String service) {
		return this.servers.isReduced(service);
	}

	/**
	 * Returns whether a service has no other servers than those in evacuated zones, not
	 * counting draining ones.
	 * @param service the name of the service
	 * @return {@code true} if its requests cannot be served until a zone is back
	 */
	public boolean isEvacuated(String service) {
		return this.servers.isReduced(service) && this.servers.usable(service).isEmpty();
	}

	/**
	 * Returns how long a service accepts no requests because all of its servers that are
	 * not leaving requested a pause.
	 * @param service the name of the service
	 * @param nowMs the steady time in milliseconds
	 * @return the shortest remaining pause in milliseconds, 0 when no server is paused or
	 * one accepts requests
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
	 * Returns whether a service has a healthy server to which a request may be sent.
	 * @param service the name of the service
	 * @param excluded the ids of servers that are not considered
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} when there is such a server
	 */
	public boolean hasAvailableServer(String service, Set<String> excluded, long nowMs) {
		return this.servers.usable(service)
			.stream()
			.filter((server) -> !excluded.contains(server.id()))
			.map(this::state)
			.anyMatch((state) -> state.hasPermit(nowMs) && state.isAvailable(nowMs));
	}

	/**
	 * Returns whether a service has a server that accepts requests but for which this
	 * router has no permit.
	 * @param service the name of the service
	 * @param excluded the ids of servers that are not considered
	 * @param nowMs the steady time in milliseconds
	 * @return {@code true} when there is such a server
	 */
	public boolean isLimited(String service, Set<String> excluded, long nowMs) {
		return this.servers.usable(service)
			.stream()
			.filter((server) -> !excluded.contains(server.id()))
			.map(this::state)
			.anyMatch((state) -> state.acceptsRequests(nowMs) && !state.hasPermit(nowMs));
	}

	/**
	 * Selects a server for a request. Suspended servers are considered only if there is
	 * no available one.
	 * @param service the name of the service
	 * @param modelService whether the service runs language models
	 * @param request the request
	 * @param excluded the ids of servers that are not considered
	 * @param nowMs the steady time in milliseconds
	 * @return the state of the selected server, empty when a request may be sent to no
	 * server
	 */
	public Optional<ServerState> select(String service, boolean modelService, RequestDescription request,
			Set<String> excluded, long nowMs) {
		List<Candidate> available = new ArrayList<>();
		List<Candidate> suspended = new ArrayList<>();
		for (BackendServer server : this.servers.usable(service)) {
			if (excluded.contains(server.id())) {
				continue;
			}
			ServerState state = state(server);
			if (!state.hasPermit(nowMs)) {
				continue;
			}
			(state.isAvailable(nowMs) ? available : suspended).add(state.toCandidate(this.zone));
		}
		// A suspended server may have recovered, while rejecting the request would fail
		// for certain.
		List<Candidate> candidates = available.isEmpty() ? suspended : available;
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		Candidate selected = (modelService ? this.affinityPolicy : this.plainPolicy).select(candidates, request);
		return Optional.of(state(selected.server()));
	}

	/**
	 * Selects a server for a request whose prompt tokens are not known.
	 * @param service the name of the service
	 * @param modelService whether the service runs language models
	 * @param affinityKey a key that requests with a common prompt prefix share, 0 for
	 * none
	 * @param excluded the ids of servers that are not considered
	 * @param nowMs the steady time in milliseconds
	 * @return the state of the selected server, empty when a request may be sent to no
	 * server
	 */
	public Optional<ServerState> select(String service, boolean modelService, long affinityKey, Set<String> excluded,
			long nowMs) {
		return select(service, modelService, RequestDescription.of(affinityKey), excluded, nowMs);
	}

}
