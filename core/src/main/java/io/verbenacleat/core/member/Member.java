package io.verbenacleat.core.member;

import org.jspecify.annotations.Nullable;

/**
 * One process of the fleet as listed in the membership rows. Immutable.
 *
 * @param incarnation the unique id of this run of the process
 * @param role the role of the process
 * @param address its gRPC address, host:port
 * @param host the IP address of its host
 * @param region its region
 * @param zone its availability zone
 * @param site its site
 * @param backendServer the backend server of an agent, {@code null} for an entry
 * @param fence the fencing token of an agent, 0 for an entry
 * @param startedAtMs when the process started, in milliseconds since the epoch
 * @param registration the position of the process in the order of all registrations, from
 * 1; can be compared between hosts, unlike start times; 0 before the registration
 */
public record Member(String incarnation, Role role, String address, String host, String region, String zone,
		String site, @Nullable String backendServer, long fence, long startedAtMs, long registration) {

	/**
	 * Creates a process that is not registered yet.
	 * @param incarnation the unique id of this run of the process
	 * @param role the role of the process
	 * @param address its gRPC address, host:port
	 * @param host the IP address of its host
	 * @param region its region
	 * @param zone its availability zone
	 * @param site its site
	 * @param backendServer the backend server of an agent, {@code null} for an entry
	 * @param fence the fencing token of an agent, 0 for an entry
	 * @param startedAtMs when the process started, in milliseconds since the epoch
	 */
	public Member(String incarnation, Role role, String address, String host, String region, String zone, String site,
			@Nullable String backendServer, long fence, long startedAtMs) {
		this(incarnation, role, address, host, region, zone, site, backendServer, fence, startedAtMs, 0);
	}

	/**
	 * Returns a copy of this process with its position in the order of registrations.
	 * @param newRegistration the position, 1 or more
	 * @return the changed copy
	 */
	public Member withRegistration(long newRegistration) {
		return new Member(this.incarnation, this.role, this.address, this.host, this.region, this.zone, this.site,
				this.backendServer, this.fence, this.startedAtMs, newRegistration);
	}

	/**
	 * The role of a process.
	 */
	public enum Role {

		/** Accepts requests of callers as a gateway and is a holder of budgets. */
		ENTRY,

		/** Runs orders on one backend server. */
		AGENT

	}

}
