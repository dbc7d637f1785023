package io.verbenacleat.entry.routing;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

/**
 * The load of each agent as this entry sees it: the newest report, which a status call
 * brings, plus the own orders sent since. Safe for use by several threads.
 */
public final class AgentLoads {

	private final Map<String, Load> loads = new ConcurrentHashMap<>();

	/**
	 * Takes a report.
	 * @param agent the agent incarnation
	 * @param inProgress the orders in progress there
	 * @param nowMs the present time in milliseconds
	 */
	public void addReport(String agent, int inProgress, long nowMs) {
		this.loads.put(agent, new Load(inProgress, 0, nowMs));
	}

	/**
	 * Counts an order that was sent.
	 * @param agent the agent incarnation
	 */
	public void orderStarted(String agent) {
		this.loads.compute(agent, (key, load) -> addOrders(load, 1));
	}

	/**
	 * Counts an order that ended. Its own report, if any, replaces the count.
	 * @param agent the agent incarnation
	 */
	public void orderEnded(String agent) {
		this.loads.computeIfPresent(agent, (key, load) -> (load.sentSince() > 0) ? addOrders(load, -1) : load);
	}

	/**
	 * Returns the load of an agent.
	 * @param agent the agent incarnation
	 * @return the orders in progress as far as known, zero or more
	 */
	public int load(String agent) {
		Load load = this.loads.get(agent);
		return (load != null) ? load.reported() + load.sentSince() : 0;
	}

	/**
	 * Returns whether an agent has reported within a time.
	 * @param agent the agent incarnation
	 * @param nowMs the present time in milliseconds
	 * @param withinMs the time in milliseconds
	 * @return {@code false} when nothing was heard of it for longer
	 */
	public boolean hasRecentReport(String agent, long nowMs, long withinMs) {
		Load load = this.loads.get(agent);
		// A report from the future comes from before a step of the clock.
		return load != null && load.reportedAtMs() <= nowMs && nowMs - load.reportedAtMs() < withinMs;
	}

	/**
	 * Forgets all agents but these.
	 * @param agents the agent incarnations to keep
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
