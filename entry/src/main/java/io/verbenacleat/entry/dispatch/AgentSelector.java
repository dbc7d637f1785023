package io.verbenacleat.entry.dispatch;

import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

import io.verbenacleat.core.config.BackendServerConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.config.RoutingConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.routing.AgentLoads;
import io.verbenacleat.entry.routing.LeastLoadedPolicy;
import io.verbenacleat.entry.routing.PrefixAffinityPolicy;
import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.entry.routing.RoutingCandidate;
import io.verbenacleat.entry.routing.RoutingPolicy;
import io.verbenacleat.proto.v1.GetStatusResponse;
import org.jspecify.annotations.Nullable;

/**
 * Selects the agent for an order. Reachable agents are preferred to those that recently
 * failed, then agents of the own site to others; the configured routing policy selects
 * among the preferred agents. Safe for use by several threads.
 */
public final class AgentSelector {

	/**
	 * The time for which a failed agent is selected only if there is no other.
	 */
	static final long UNREACHABLE_PENALTY_MS = 2000;

	private final String site;

	private final Blackboard blackboard;

	private final Clock clock;

	private final AgentLoads loads;

	private final RoutingPolicy leastLoaded = new LeastLoadedPolicy(() -> ThreadLocalRandom.current().nextInt());

	private final Map<String, Long> penalizedUntilMs = new ConcurrentHashMap<>();

	/**
	 * Creates a selector.
	 * @param site the site of this entry
	 * @param blackboard the source of configuration, members, agent status and drained
	 * servers
	 * @param clock the clock of the control thread
	 * @param loads the loads of the agents, updated by status calls elsewhere
	 */
	public AgentSelector(String site, Blackboard blackboard, Clock clock, AgentLoads loads) {
		this.site = site;
		this.blackboard = blackboard;
		this.clock = clock;
		this.loads = loads;
	}

	/**
	 * Selects an agent for a request without a prompt.
	 * @param target the model or service that the request needs
	 * @param excluded agent incarnations that have refused the request
	 * @return the agent, or empty if none accepts orders for the target
	 */
	public Optional<Member> select(WorkTarget target, Set<String> excluded) {
		return select(target, PrefixKey.NONE, excluded);
	}

	/**
	 * Selects an agent for a prompt.
	 * @param target the model or service that the request needs
	 * @param prefix the prefix key of the prompt
	 * @param excluded agent incarnations that have refused the request
	 * @return the agent, or empty if none accepts orders for the target
	 */
	public Optional<Member> select(WorkTarget target, PrefixKey prefix, Set<String> excluded) {
		OfficeConfig config = this.blackboard.read(EntryStateKeys.CONFIG);
		Membership members = this.blackboard.read(EntryStateKeys.MEMBERS);
		if (config == null || members == null) {
			return Optional.empty();
		}
		Map<String, GetStatusResponse> statuses = readOrDefault(EntryStateKeys.AGENT_STATUS, Map.of());
		Set<String> drained = readOrDefault(EntryStateKeys.DRAINED_SERVERS, Set.of());
		Set<String> serving = findServing(target, config, drained);
		Map<Integer, List<Member>> byRank = members.agents()
			.stream()
			.filter((agent) -> !excluded.contains(agent.incarnation()))
			.filter((agent) -> agent.backendServer() != null && serving.contains(agent.backendServer()))
			.filter((agent) -> !isDraining(statuses.get(agent.incarnation())))
			.collect(Collectors.groupingBy(this::rank, TreeMap::new, Collectors.toList()));
		return byRank.values().stream().findFirst().map((agents) -> select(config.routing(), prefix, agents));
	}

	// Ranks agents by penalty, then by site, the own site first.
	private int rank(Member agent) {
		return ((isPenalized(agent)) ? 2 : 0) + ((agent.site().equals(this.site)) ? 0 : 1);
	}

	private Member select(RoutingConfig config, PrefixKey prefix, List<Member> agents) {
		Map<String, Member> byServer = new LinkedHashMap<>();
		List<RoutingCandidate> candidates = new ArrayList<>(agents.size());
		for (Member agent : agents) {
			// Shortly after a restart the members may list two incarnations of an agent;
			// the later one has the higher fencing token.
			byServer.merge(String.valueOf(agent.backendServer()), agent,
					(one, other) -> (one.fence() > other.fence()) ? one : other);
		}
		byServer.forEach(
				(server, agent) -> candidates.add(new RoutingCandidate(server, this.loads.load(agent.incarnation()))));
		String server = policy(config).select(prefix, candidates).server();
		return Objects.requireNonNull(byServer.get(server));
	}

	private RoutingPolicy policy(RoutingConfig config) {
		return switch (config.policy()) {
			case LEAST_LOADED -> this.leastLoaded;
			case PREFIX_AFFINITY ->
				new PrefixAffinityPolicy(config.prefixBlocks(), config.loadFactor(), this.leastLoaded);
		};
	}

	/**
	 * Counts an order as in progress at an agent.
	 * @param agent the agent
	 */
	public void started(Member agent) {
		this.loads.orderStarted(agent.incarnation());
	}

	/**
	 * Counts an order as no longer in progress at an agent.
	 * @param agent the agent
	 */
	public void ended(Member agent) {
		this.loads.orderEnded(agent.incarnation());
	}

	/**
	 * Penalizes an agent after a failed order, such as a broken stream, an unreachable
	 * backend server or a refusal because the agent is draining.
	 * @param agent the agent
	 */
	public void penalize(Member agent) {
		long nowMs = this.clock.millis();
		this.penalizedUntilMs.values().removeIf((untilMs) -> untilMs <= nowMs);
		this.penalizedUntilMs.put(agent.incarnation(), nowMs + UNREACHABLE_PENALTY_MS);
	}

	private <T> T readOrDefault(Blackboard.Key<T> key, T fallback) {
		T value = this.blackboard.read(key);
		return (value != null) ? value : fallback;
	}

	private static Set<String> findServing(WorkTarget target, OfficeConfig config, Set<String> drained) {
		return config.servers()
			.stream()
			.filter(target::isServedBy)
			.map(BackendServerConfig::name)
			.filter((name) -> !drained.contains(name))
			.collect(Collectors.toSet());
	}

	private static boolean isDraining(@Nullable GetStatusResponse status) {
		return status != null && status.getDraining();
	}

	private boolean isPenalized(Member agent) {
		Long untilMs = this.penalizedUntilMs.get(agent.incarnation());
		long nowMs = this.clock.millis();
		// A penalty that ends further ahead than its length was set before the clock was
		// set back.
		return untilMs != null && nowMs < untilMs && untilMs - nowMs <= UNREACHABLE_PENALTY_MS;
	}

}
