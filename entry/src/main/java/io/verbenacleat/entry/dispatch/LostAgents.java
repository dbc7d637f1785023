package io.verbenacleat.entry.dispatch;

import io.verbenacleat.core.member.Member;

/**
 * Knows which agents are lost for good. Implementations are safe for use by several
 * threads.
 */
@FunctionalInterface
public interface LostAgents {

	/**
	 * Returns whether an agent incarnation is known to run no more.
	 * @param agent the agent
	 * @return {@code true} only when it can never again act on an order
	 */
	boolean isLost(Member agent);

}
