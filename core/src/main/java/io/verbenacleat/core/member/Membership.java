package io.verbenacleat.core.member;

import java.util.List;
import java.util.Optional;

/**
 * A snapshot of the processes of the fleet in all availability zones, merged from the
 * rows of the zones. Immutable.
 *
 * @param members the processes
 */
public record Membership(List<Member> members) {

	/** A membership without processes. */
	public static final Membership EMPTY = new Membership(List.of());

	/**
	 * Creates a membership with a copy of the list.
	 */
	public Membership {
		members = List.copyOf(members);
	}

	/**
	 * Returns the entries of a site.
	 * @param site the name of the site
	 * @return the entries
	 */
	public List<Member> entries(String site) {
		return this.members.stream()
			.filter((member) -> member.role() == Member.Role.ENTRY && member.site().equals(site))
			.toList();
	}

	/**
	 * Returns the agents of all sites.
	 * @return the agents
	 */
	public List<Member> agents() {
		return this.members.stream().filter((member) -> member.role() == Member.Role.AGENT).toList();
	}

	/**
	 * Finds a process.
	 * @param incarnation the incarnation of the process
	 * @return the process, or empty if it is not a member
	 */
	public Optional<Member> find(String incarnation) {
		return this.members.stream().filter((member) -> member.incarnation().equals(incarnation)).findFirst();
	}

}
