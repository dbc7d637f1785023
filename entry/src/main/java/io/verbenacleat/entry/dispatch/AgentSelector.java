package io.verbenacleat.entry.dispatch;

import java.time.Clock;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

import io.verbenacleat.core.config.BackendServerConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.entry.EntryBoard;
import io.verbenacleat.proto.v1.GetStatusResponse;
import org.jspecify.annotations.Nullable;

/**
 * Selects the agent for an order: own site first, then the least work in progress, which
 * is the own count plus the last report of the agent. Safe for use by several threads.
 * <p>
 * It looks at all agents rather than at two random ones: the site preference and the
 * exclusions would leave a random pair without a candidate too often, and 600 agents are
 * few. Agents with equal work are ordered by a hash that changes with each selection, so
 * that the entries do not all pick the same one between two reports.
 */
public final class AgentSelector {

	/**
	 * How long an agent that could not be reached is left out, unless no other is left.
	 */
	static final long UNREACHABLE_PENALTY_MS = 2000;

	private final String site;

	private final Blackboard blackboard;

	private final Clock clock;

	private final Map<String, Integer> inProgress = new ConcurrentHashMap<>();

	private final Map<String, Long> penalizedUntilMs = new ConcurrentHashMap<>();

	/**
	 * Creates a selector.
	 * @param site the site of this entry
	 * @param blackboard holds configuration, members, agent status and drained servers
	 * @param clock the clock of the control thread
	 */
	public AgentSelector(String site, Blackboard blackboard, Clock clock) {
		this.site = site;
		this.blackboard = blackboard;
		this.clock = clock;
	}

	/**
	 * Selects an agent.
	 * @param target what the request needs
	 * @param excluded agent incarnations that have refused the request
	 * @return the agent, or empty when none takes orders for the target
	 */
	public Optional<Member> select(WorkTarget target, Set<String> excluded) {
		OfficeConfig config = this.blackboard.read(EntryBoard.CONFIG);
		Membership members = this.blackboard.read(EntryBoard.MEMBERS);
		if (config == null || members == null) {
			return Optional.empty();
		}
		Map<String, GetStatusResponse> statuses = readOr(EntryBoard.AGENT_STATUS, Map.of());
		Set<String> drained = readOr(EntryBoard.DRAINED, Set.of());
		Set<String> serving = serving(target, config, drained);
		int salt = ThreadLocalRandom.current().nextInt();
		Comparator<Member> order = Comparator.comparing(this::isPenalized)
			.thenComparing((agent) -> !agent.site().equals(this.site))
			.thenComparing((agent) -> work(agent, statuses))
			.thenComparing((agent) -> (agent.incarnation().hashCode() ^ salt) * 0x9E3779B9);
		return members.agents()
			.stream()
			.filter((agent) -> !excluded.contains(agent.incarnation()))
			.filter((agent) -> agent.backendServer() != null && serving.contains(agent.backendServer()))
			.filter((agent) -> !isDraining(statuses.get(agent.incarnation())))
			.min(order);
	}

	/**
	 * Counts an order as in progress.
	 * @param agent the agent
	 */
	public void started(Member agent) {
		this.inProgress.merge(agent.incarnation(), 1, Integer::sum);
	}

	/**
	 * Counts an order as no longer in progress.
	 * @param agent the agent
	 */
	public void ended(Member agent) {
		this.inProgress.computeIfPresent(agent.incarnation(), (key, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Notes that an agent could not be reached or its backend server was down.
	 * @param agent the agent
	 */
	public void failed(Member agent) {
		long nowMs = this.clock.millis();
		this.penalizedUntilMs.values().removeIf((untilMs) -> untilMs <= nowMs);
		this.penalizedUntilMs.put(agent.incarnation(), nowMs + UNREACHABLE_PENALTY_MS);
	}

	private <T> T readOr(Blackboard.Key<T> key, T fallback) {
		T value = this.blackboard.read(key);
		return (value != null) ? value : fallback;
	}

	private static Set<String> serving(WorkTarget target, OfficeConfig config, Set<String> drained) {
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
		// A penalty that ends too far ahead comes from before a step of the clock.
		return untilMs != null && nowMs < untilMs && untilMs - nowMs <= UNREACHABLE_PENALTY_MS;
	}

	private int work(Member agent, Map<String, GetStatusResponse> statuses) {
		GetStatusResponse status = statuses.get(agent.incarnation());
		int reported = (status != null) ? status.getInProgress() : 0;
		return reported + this.inProgress.getOrDefault(agent.incarnation(), 0);
	}

}
