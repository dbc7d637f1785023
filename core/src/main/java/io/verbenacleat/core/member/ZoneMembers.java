package io.verbenacleat.core.member;

import java.util.ArrayList;
import java.util.List;

/**
 * The row {@code members/<zone>}: the processes of one availability zone. Immutable.
 *
 * @param members the processes
 */
public record ZoneMembers(List<Member> members) {

	/** The prefix of the table keys. */
	public static final String KEY_PREFIX = "members/";

	/**
	 * Creates a row from a copy of the list.
	 */
	public ZoneMembers {
		members = (members != null) ? List.copyOf(members) : List.of();
	}

	/**
	 * Returns the table key of a zone, which is the name of its topic too.
	 * @param zone the availability zone
	 * @return the key
	 */
	public static String key(String zone) {
		return KEY_PREFIX + zone;
	}

	/**
	 * Returns these members with a process added; an older agent of the same backend
	 * server is dropped.
	 * @param member the process
	 * @return the changed copy
	 */
	public ZoneMembers plus(Member member) {
		List<Member> changed = new ArrayList<>(without(member.incarnation()).members());
		changed.removeIf((known) -> member.backendServer() != null
				&& member.backendServer().equals(known.backendServer()) && known.fence() < member.fence());
		changed.add(member);
		return new ZoneMembers(changed);
	}

	/**
	 * Returns these members without a process.
	 * @param incarnation the process
	 * @return the changed copy
	 */
	public ZoneMembers without(String incarnation) {
		return new ZoneMembers(
				this.members.stream().filter((member) -> !member.incarnation().equals(incarnation)).toList());
	}

}
