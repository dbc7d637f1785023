package io.verbenacleat.entry.member;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.budget.LostAgents;

/**
 * Detects lost agents from the membership and the host list: an agent is lost when a
 * newer agent of its backend server has registered, or when the platform has removed its
 * host. Safe for use by several threads.
 */
public final class FleetLostAgents implements LostAgents {

	private final Blackboard blackboard;

	private final HostWatch hostWatch;

	/**
	 * Creates a detector.
	 * @param blackboard the blackboard with the membership
	 * @param hostWatch the watch of the host list
	 */
	public FleetLostAgents(Blackboard blackboard, HostWatch hostWatch) {
		this.blackboard = blackboard;
		this.hostWatch = hostWatch;
	}

	@Override
	public boolean isLost(Member agent) {
		return this.hostWatch.isRemoved(agent.host()) || earliestSuccessorRegistration(agent) != Long.MAX_VALUE;
	}

	@Override
	public boolean endedBefore(Member agent, Member process) {
		return earliestSuccessorRegistration(agent) < process.registration();
	}

	private long earliestSuccessorRegistration(Member agent) {
		Membership members = this.blackboard.read(EntryStateKeys.MEMBERS);
		if (members == null || agent.backendServer() == null) {
			return Long.MAX_VALUE;
		}
		return members.agents()
			.stream()
			.filter((other) -> agent.backendServer().equals(other.backendServer()) && other.fence() > agent.fence())
			.mapToLong(Member::registration)
			.min()
			.orElse(Long.MAX_VALUE);
	}

}
