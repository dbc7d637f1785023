package io.verbenacleat.core.member;

import java.util.ArrayList;
import java.util.List;

/**
 * The row {@code members/<zone>}: the processes of one availability zone. Immutable.
 *
 * @param members the processes; {@code null} in a row means none
 */
public record ZoneMembers(List<Member> members) {

	/** The prefix of the table keys. */
	public static final String KEY_PREFIX = "members/";

	/**
	 * Creates a row with a copy of the list.
	 */
	public ZoneMembers {
		members = (members != null) ? List.copyOf(members) : List.of();
	}

	/**
	 * Returns the table key of an availability zone, which is also the name of its topic
	 * in the row {@code head}.
	 * @param zone the availability zone
	 * @return the key
	 */
	public static String key(String zone) {
		return KEY_PREFIX + zone;
	}

	/**
	 * Returns a copy of these members with a process added, or replaced if it is already
	 * listed; removes older agents of the same backend server.
	 * @param member the process
	 * @return the changed copy
	 */
	public ZoneMembers plus(Member member) {
		List<Member> changed = new ArrayList<>(without(member.incarnation()).members());
		changed.removeIf((other) -> member.backendServer() != null
				&& member.backendServer().equals(other.backendServer()) && other.fence() < member.fence());
		changed.add(member);
		return new ZoneMembers(changed);
	}

	/**
	 * Returns a copy of these members without a process.
	 * @param incarnation the incarnation of the process
	 * @return the changed copy
	 */
	public ZoneMembers without(String incarnation) {
		return new ZoneMembers(
				this.members.stream().filter((member) -> !member.incarnation().equals(incarnation)).toList());
	}

}
