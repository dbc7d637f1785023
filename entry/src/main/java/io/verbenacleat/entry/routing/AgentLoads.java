package io.verbenacleat.entry.routing;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

/**
 * Estimates the load of each agent: the orders in progress according to the last status
 * response, plus the orders that this entry has sent since. Safe for use by several
 * threads.
 */
public final class AgentLoads {

	private final Map<String, Load> loads = new ConcurrentHashMap<>();

	/**
	 * Replaces the load of an agent by a reported one.
	 * @param agent the agent incarnation
	 * @param inProgress the number of orders in progress at the agent
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	public void addReport(String agent, int inProgress, long nowMs) {
		this.loads.put(agent, new Load(inProgress, 0, nowMs));
	}

	/**
	 * Counts an order that was sent to an agent.
	 * @param agent the agent incarnation
	 */
	public void orderStarted(String agent) {
		this.loads.compute(agent, (key, load) -> addOrders(load, 1));
	}

	/**
	 * Counts an order that ended. If no order was sent since the last report, the load
	 * stays as reported until the next report.
	 * @param agent the agent incarnation
	 */
	public void orderEnded(String agent) {
		this.loads.computeIfPresent(agent, (key, load) -> (load.sentSince() > 0) ? addOrders(load, -1) : load);
	}

	/**
	 * Returns the estimated load of an agent.
	 * @param agent the agent incarnation
	 * @return the number of orders in progress, zero or more; zero for an unknown agent
	 */
	public int load(String agent) {
		Load load = this.loads.get(agent);
		return (load != null) ? load.reported() + load.sentSince() : 0;
	}

	/**
	 * Returns whether an agent has reported its load recently.
	 * @param agent the agent incarnation
	 * @param nowMs the current time in milliseconds since the epoch
	 * @param withinMs the age in milliseconds from which a report is too old
	 * @return {@code true} if the last report is younger than {@code withinMs}
	 */
	public boolean hasRecentReport(String agent, long nowMs, long withinMs) {
		Load load = this.loads.get(agent);
		// A report time in the future means that the clock has been set back since.
		return load != null && load.reportedAtMs() <= nowMs && nowMs - load.reportedAtMs() < withinMs;
	}

	/**
	 * Removes all agents except the given ones.
	 * @param agents the agent incarnations to retain
	 */
	public void retainAll(Set<String> agents) {
		this.loads.keySet().retainAll(agents);
	}

	private static Load addOrders(@Nullable Load load, int orders) {
		return (load != null) ? new Load(load.reported(), load.sentSince() + orders, load.reportedAtMs())
				: new Load(0, orders, Long.MIN_VALUE / 2);
	}

	private record Load(int reported, int sentSince, long reportedAtMs) {
	}

}
