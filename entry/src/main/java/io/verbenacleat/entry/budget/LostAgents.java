package io.verbenacleat.entry.budget;

import io.verbenacleat.core.member.Member;

/**
 * Knows which agents are lost. Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface LostAgents {

	/**
	 * Returns whether an agent is known to be lost: it runs no more and will not again.
	 * @param agent the agent
	 * @return {@code true} when it is certain
	 */
	boolean isLost(Member agent);

	/**
	 * Returns whether an agent is known to have ended before a process started, so that
	 * it never had orders of it.
	 * @param agent the agent
	 * @param process the process
	 * @return {@code true} when it is certain
	 */
	default boolean endedBefore(Member agent, Member process) {
		return false;
	}

}
