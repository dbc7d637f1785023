package io.verbenacleat.core.member;

import java.util.List;
import java.util.Optional;

/**
 * All processes of the fleet that a node knows, over all availability zones. Immutable.
 *
 * @param members the processes
 */
public record Membership(List<Member> members) {

	/** A membership without processes. */
	public static final Membership EMPTY = new Membership(List.of());

	/**
	 * Creates a membership from a copy of the list.
	 */
	public Membership {
		members = List.copyOf(members);
	}

	/**
	 * Returns the entries of a site.
	 * @param site the site
	 * @return the entries
	 */
	public List<Member> entries(String site) {
		return this.members.stream()
			.filter((member) -> member.role() == Member.Role.ENTRY && member.site().equals(site))
			.toList();
	}

	/**
	 * Returns all agents.
	 * @return the agents
	 */
	public List<Member> agents() {
		return this.members.stream().filter((member) -> member.role() == Member.Role.AGENT).toList();
	}

	/**
	 * Finds a process.
	 * @param incarnation its identity
	 * @return the process, or empty when it is not a member
	 */
	public Optional<Member> find(String incarnation) {
		return this.members.stream().filter((member) -> member.incarnation().equals(incarnation)).findFirst();
	}

}
