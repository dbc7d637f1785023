package io.verbenacleat.entry.dispatch;

import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

import io.verbenacleat.proto.v1.OrderId;

/**
 * Assigns sequence numbers to the orders of one gateway, separately for each agent
 * incarnation, and tracks up to which number all of them are resolved. Safe for use by
 * several threads.
 * <p>
 * The counters of stopped agents are kept, because a number must never be used twice. A
 * few hundred restarts a day take some ten kilobytes.
 */
public final class OrderSequences {

	private final String gateway;

	private final Map<String, AgentOrders> agents = new ConcurrentHashMap<>();

	/**
	 * Creates counters that start at 1.
	 * @param gateway the incarnation of this gateway
	 */
	public OrderSequences(String gateway) {
		this.gateway = gateway;
	}

	/**
	 * Returns a new order id, unresolved until {@link #markResolved} is called.
	 * @param agent the agent incarnation
	 * @return the order id
	 */
	public OrderId next(String agent) {
		long sequence = this.agents.computeIfAbsent(agent, (any) -> new AgentOrders()).open();
		return OrderId.newBuilder()
			.setGatewayIncarnation(this.gateway)
			.setAgentIncarnation(agent)
			.setSequence(sequence)
			.build();
	}

	/**
	 * Marks an order as resolved, which means that no process will query its status any
	 * more.
	 * @param orderId the order; an order of another gateway is ignored
	 */
	public void markResolved(OrderId orderId) {
		if (!orderId.getGatewayIncarnation().equals(this.gateway)) {
			return;
		}
		AgentOrders orders = this.agents.get(orderId.getAgentIncarnation());
		if (orders != null) {
			orders.close(orderId.getSequence());
		}
	}

	/**
	 * Returns the highest sequence number up to which all orders to an agent are
	 * resolved. The agent may discard their outcomes.
	 * @param agent the agent incarnation
	 * @return the sequence number, zero or more
	 */
	public long resolvedThrough(String agent) {
		AgentOrders orders = this.agents.get(agent);
		return (orders != null) ? orders.resolvedThrough() : 0;
	}

	private static final class AgentOrders {

		private final TreeSet<Long> unresolved = new TreeSet<>();

		private long last;

		private synchronized long open() {
			this.last++;
			this.unresolved.add(this.last);
			return this.last;
		}

		private synchronized void close(long sequence) {
			this.unresolved.remove(sequence);
		}

		private synchronized long resolvedThrough() {
			return (this.unresolved.isEmpty()) ? this.last : this.unresolved.first() - 1;
		}

	}

}
