package io.verbenacleat.entry.member;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.entry.EntryStateKeys;

/**
 * Reports agents that can receive no order any more, because a newer agent of the same
 * backend server has registered at the same address. Used on the thread that writes the
 * membership.
 * <p>
 * An agent binds its port before it raises the fencing number and registers. While an
 * agent can receive orders, its port is taken; so the agent with the lower number at that
 * address has left it, and a gateway that still sends there reaches the newer agent,
 * which refuses orders for another incarnation. An agent that was replaced at another
 * address, or whose host is only missing from the host list, is not reported: it may be
 * cut off and still receive orders from its side of a partition.
 */
public final class ReplacedAgentWatch {

	private final Consumer<String> listener;

	/** The newest known agents by address. */
	private final Map<String, Member> newestByAddress = new HashMap<>();

	/**
	 * Creates a watch and starts it.
	 * @param blackboard the blackboard of the entry
	 * @param listener takes the incarnation of each replaced agent, once
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
