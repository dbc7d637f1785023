package io.verbenacleat.entry.budget;

import io.verbenacleat.core.member.Member;

/**
 * Determines which agents are lost. Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface LostAgents {

	/**
	 * Returns whether an agent is known to be lost: it does not run and never will again.
	 * @param agent the agent
	 * @return {@code true} when it is certain
	 */
	boolean isLost(Member agent);

	/**
	 * Returns whether an agent is known to have ended before a process started, so that
	 * it never received orders of that process.
	 * @param agent the agent
	 * @param process the process
	 * @return {@code true} when it is certain
	 */
	default boolean endedBefore(Member agent, Member process) {
		return false;
	}

}
