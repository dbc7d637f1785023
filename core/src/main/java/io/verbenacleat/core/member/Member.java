package io.verbenacleat.core.member;

import org.jspecify.annotations.Nullable;

/**
 * One process of the fleet as the membership rows list it. Immutable.
 *
 * @param incarnation the identity of the run
 * @param role what the process does
 * @param address its gRPC address, host:port
 * @param host the IP number of its host
 * @param region the region
 * @param zone the availability zone
 * @param site the site
 * @param backendServer the backend server of an agent, {@code null} for an entry
 * @param fence the fencing number of an agent, 0 for an entry
 * @param startedAtMs when the process started, in milliseconds since the epoch
 * @param registration the place of the process in the order of all registrations; unlike
 * start times of different hosts it can be compared; 0 before the registration
 */
public record Member(String incarnation, Role role, String address, String host, String region, String zone,
		String site, @Nullable String backendServer, long fence, long startedAtMs, long registration) {

	/**
	 * Creates a process that is not registered yet.
	 * @param incarnation the identity of the run
	 * @param role what the process does
	 * @param address its gRPC address, host:port
	 * @param host the IP number of its host
	 * @param region the region
	 * @param zone the availability zone
	 * @param site the site
	 * @param backendServer the backend server of an agent, {@code null} for an entry
	 * @param fence the fencing number of an agent, 0 for an entry
	 * @param startedAtMs when the process started, in milliseconds since the epoch
	 */
	public Member(String incarnation, Role role, String address, String host, String region, String zone, String site,
			@Nullable String backendServer, long fence, long startedAtMs) {
		this(incarnation, role, address, host, region, zone, site, backendServer, fence, startedAtMs, 0);
	}

	/**
	 * Returns this process with its place in the order of registrations.
	 * @param newRegistration the place, from 1
	 * @return the changed copy
	 */
	public Member withRegistration(long newRegistration) {
		return new Member(this.incarnation, this.role, this.address, this.host, this.region, this.zone, this.site,
				this.backendServer, this.fence, this.startedAtMs, newRegistration);
	}

	/**
	 * What a process does.
	 */
	public enum Role {

		/** Gateway and budget holder. */
		ENTRY,

		/** Runs orders on one backend server. */
		AGENT

	}

}
