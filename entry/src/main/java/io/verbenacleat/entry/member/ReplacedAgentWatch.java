package io.verbenacleat.entry.member;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.entry.EntryStateKeys;

/**
 * Reports agents that can no longer receive orders because a newer agent of the same
 * backend server has registered at the same address. Confined to the thread that writes
 * the membership.
 * <p>
 * An agent binds its port before it increases the fencing token and registers. An agent
 * that can receive orders occupies its port, so the agent with the lower token at that
 * address no longer listens there. A gateway that still sends orders to the address
 * reaches the newer agent, which refuses orders for another incarnation. An agent that
 * was replaced at another address, or whose host is only missing from the host list, is
 * not reported: it may be partitioned from this entry and still receive orders from
 * gateways on its side.
 */
public final class ReplacedAgentWatch {

	private final Consumer<String> listener;

	/** The newest known agent at each address. */
	private final Map<String, Member> newestByAddress = new HashMap<>();

	/**
	 * Creates a watch and adds it as a listener of the membership.
	 * @param blackboard the blackboard with the membership
	 * @param listener receives the incarnation of each replaced agent, once
	 */
	public ReplacedAgentWatch(Blackboard blackboard, Consumer<String> listener) {
		this.listener = listener;
		blackboard.onChange(EntryStateKeys.MEMBERS, this::update);
	}

	private void update(Membership members) {
		members.agents().forEach(this::onAgent);
	}

	private void onAgent(Member agent) {
		Member known = this.newestByAddress.get(agent.address());
		if (known == null || !hasSameServer(known, agent)) {
			this.newestByAddress.put(agent.address(), agent);
		}
		else if (known.fence() < agent.fence()) {
			this.newestByAddress.put(agent.address(), agent);
			this.listener.accept(known.incarnation());
		}
	}

	private static boolean hasSameServer(Member known, Member agent) {
		return known.backendServer() != null && known.backendServer().equals(agent.backendServer());
	}

}
