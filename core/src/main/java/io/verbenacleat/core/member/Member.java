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
 */
public record Member(String incarnation, Role role, String address, String host, String region, String zone,
		String site, @Nullable String backendServer, long fence, long startedAtMs) {

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
