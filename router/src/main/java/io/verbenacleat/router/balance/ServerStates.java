package io.verbenacleat.router.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerList;
import io.verbenacleat.router.server.WarmUpNotice;
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

	private static final long ALREADY_RUNNING = Long.MIN_VALUE;

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

	/** The servers of the current list, by id. */
	private Map<String, BackendServer> listed = Map.of();

	/** The servers of which the list before the current one had no such incarnation. */
	private final List<BackendServer> arrivals = new ArrayList<>();

	/** What servers accept while they warm up, by service. */
	private Map<String, WarmUpLimit> warmUpLimits = Map.of();

	/**
	 * When each incarnation was first listed; {@link #ALREADY_RUNNING} if it was in the
	 * first list. In the order of their first listing.
	 */
	private final Map<BackendServer, Long> listedAtMs = new LinkedHashMap<>();

	private boolean hasList;

	/** When the current list was received, by the steady time. */
	private long noticesAtMs;

	/** The listed servers that warmed up at the last check, by id. */
	private Map<String, ServerState> warmingUp = new HashMap<>();

	private long heldBackCount;

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
		for (BackendServer server : list.all()) {
			byId.put(server.id(), server);
			BackendServer previous = this.listed.get(server.id());
			if (previous == null || !previous.isSameIncarnation(server)) {
				this.arrivals.add(server);
			}
		}
		this.listed = byId;
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
			ServerState state = (retained != null) ? retained : newState(server);
			state.setWarmUpLimit(this.warmUpLimits.get(server.service()));
			return state;
		});
	}

	private ServerState newState(BackendServer server) {
		ServerState state = new ServerState(server, this.schedule,
				this.times.computeIfAbsent(server.service(), (service) -> new RequestTimes()));
		long firstListedAtMs = this.listedAtMs.getOrDefault(server.incarnationKey(), ALREADY_RUNNING);
		if (firstListedAtMs != ALREADY_RUNNING) {
			state.warmUp().onStarted(firstListedAtMs);
		}
		return state;
	}

	/**
	 * Sets what servers accept while they warm up.
	 * @param limits the limits by service; servers of other services don't warm up
	 * @return the same as of {@link #applyWarmUps}
	 */
	public List<ServerState> setWarmUpLimits(Map<String, WarmUpLimit> limits) {
		this.warmUpLimits = Map.copyOf(limits);
		this.states.values().forEach((state) -> state.setWarmUpLimit(limits.get(state.server().service())));
		return applyNotices();
	}

	/**
	 * Applies what the registrations in the current list say about warm-ups. Must be
	 * called after each {@link #update}. An incarnation that was not in the first list
	 * has just started.
	 * @param nowMs the steady time in milliseconds
	 * @return the states of servers whose registration has a remaining time that cannot
	 * be used, each once
	 */
	public List<ServerState> applyWarmUps(long nowMs) {
		if (!this.arrivals.isEmpty()) {
			this.arrivals.forEach((server) -> this.listedAtMs.putIfAbsent(server.incarnationKey(),
					this.hasList ? nowMs : ALREADY_RUNNING));
			this.arrivals.clear();
			dropOldestListings();
		}
		this.hasList = true;
		this.noticesAtMs = nowMs;
		return applyNotices();
	}

	private void dropOldestListings() {
		Iterator<BackendServer> oldest = this.listedAtMs.keySet().iterator();
		int surplus = this.listedAtMs.size() - MAX_UNLISTED - this.listed.size();
		while (surplus > 0 && oldest.hasNext()) {
			BackendServer key = oldest.next();
			BackendServer current = this.listed.get(key.id());
			if (current == null || !current.isSameIncarnation(key)) {
				oldest.remove();
				surplus--;
			}
		}
	}

	private List<ServerState> applyNotices() {
		if (this.warmUpLimits.isEmpty()) {
			return List.of();
		}
		List<ServerState> invalid = new ArrayList<>();
		for (BackendServer server : this.servers.all()) {
			WarmUpNotice notice = server.warmUp();
			if (notice == null || !this.warmUpLimits.containsKey(server.service())) {
				continue;
			}
			ServerState state = state(server);
			if (notice.hasTime()) {
				state.warmUp().onStated(notice.leftMs(), this.noticesAtMs - notice.ageMs());
			}
			else if (state.warmUp().onInvalid()) {
				invalid.add(state);
			}
		}
		return invalid;
	}

	/**
	 * Finds the servers that began or ended to warm up since the last call.
	 * @param nowMs the steady time in milliseconds
	 * @return the states, listed or not
	 */
	public List<ServerState> findWarmUpChanges(long nowMs) {
		Map<String, ServerState> current = new HashMap<>();
		if (!this.warmUpLimits.isEmpty()) {
			for (BackendServer server : this.servers.all()) {
				if (this.warmUpLimits.containsKey(server.service()) && state(server).isWarmingUp(nowMs)) {
					current.put(server.id(), state(server));
				}
			}
		}
		List<ServerState> changes = new ArrayList<>();
		this.warmingUp.forEach((id, state) -> {
			if (current.get(id) != state) {
				changes.add(state);
			}
		});
		current.forEach((id, state) -> {
			if (this.warmingUp.get(id) != state) {
				changes.add(state);
			}
		});
		this.warmingUp = current;
		return changes;
	}

	/**
	 * Returns the listed servers that warmed up at the last check.
	 * @return the states
	 */
	public Collection<ServerState> warmingUp() {
		return this.warmingUp.values();
	}

	/**
	 * Returns how often a server was not considered because it warms up and this router
	 * has no permit, and starts to count anew. Each selection counts once.
	 * @return the number of selections
	 */
	public long takeHeldBackCount() {
		long count = this.heldBackCount;
		this.heldBackCount = 0;
		return count;
	}

	/**
	 * Returns the time until this router has a permit for a server that warms up.
	 * @param service the name of the service
	 * @param excluded the ids of servers that are not considered
	 * @param nowMs the steady time in milliseconds
	 * @return the shortest time in milliseconds, 0 if it is unknown, empty if no server
	 * lacks a permit because it warms up
	 */
	public OptionalLong warmUpDelayMs(String service, Set<String> excluded, long nowMs) {
		boolean found = false;
		long shortestMs = Long.MAX_VALUE;
		for (BackendServer server : this.servers.usable(service)) {
			ServerState state = state(server);
			if (excluded.contains(server.id()) || !state.acceptsRequests(nowMs) || !state.isWarmingUp(nowMs)) {
				continue;
			}
			found = true;
			long delayMs = state.nextWarmUpPermitMs(nowMs);
			shortestMs = (delayMs >= 0) ? Math.min(shortestMs, delayMs) : shortestMs;
		}
		if (!found) {
			return OptionalLong.empty();
		}
		return OptionalLong.of((shortestMs == Long.MAX_VALUE) ? 0 : shortestMs);
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
	 * no available one, and servers that warm up only if no other one has a free slot.
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
		List<Candidate> atMaximum = new ArrayList<>();
		List<Candidate> withPermit = new ArrayList<>();
		boolean hasFreeSlot = false;
		List<Candidate> suspended = new ArrayList<>();
		boolean heldBack = false;
		for (BackendServer server : this.servers.usable(service)) {
			if (excluded.contains(server.id())) {
				continue;
			}
			ServerState state = state(server);
			boolean needsPermit = state.isWarmingUp(nowMs);
			if (!state.hasPermit(nowMs)) {
				heldBack |= needsPermit;
				continue;
			}
			Candidate candidate = state.toCandidate(this.zone);
			if (!state.isAvailable(nowMs)) {
				suspended.add(candidate);
			}
			else if (needsPermit) {
				withPermit.add(candidate);
			}
			else {
				available.add(candidate);
				if (state.hadMaximumOfWarmUp(nowMs)) {
					atMaximum.add(candidate);
				}
				else {
					hasFreeSlot = hasFreeSlot || state.hasFreeSlot();
				}
			}
		}
		this.heldBackCount += heldBack ? 1 : 0;
		// A suspended server may have recovered, while rejecting the request would fail
		// for certain.
		List<Candidate> preferred = available;
		if (!atMaximum.isEmpty()) {
			preferred = available.stream().filter((candidate) -> !atMaximum.contains(candidate)).toList();
		}
		List<Candidate> first = (hasFreeSlot || withPermit.isEmpty()) ? preferred : withPermit;
		List<Candidate> candidates = Stream.of(first, available, suspended)
			.filter((list) -> !list.isEmpty())
			.findFirst()
			.orElse(List.of());
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
