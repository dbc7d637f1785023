package io.verbenacleat.bench.grants;

import java.util.List;

/**
 * Requests and faults of one run, the same for all schemes. Immutable.
 *
 * @param sites the number of sites
 * @param holdersPerSite the number of holders at each site
 * @param durationMs the length of the run
 * @param budgetTokens the first top-up of each account
 * @param requests the requests in arrival order
 * @param topUps the later top-ups in order of time
 * @param crashes the lost holders in order of time
 * @param partitions the partitions
 */
record Workload(int sites, int holdersPerSite, long durationMs, List<Long> budgetTokens, List<WorkloadRequest> requests,
		List<TopUp> topUps, List<HolderCrash> crashes, List<Partition> partitions) {

	Workload {
		budgetTokens = List.copyOf(budgetTokens);
		requests = List.copyOf(requests);
		topUps = List.copyOf(topUps);
		crashes = List.copyOf(crashes);
		partitions = List.copyOf(partitions);
	}

	boolean connected(int first, int second, long atMs) {
		return this.partitions.stream().noneMatch((partition) -> partition.separates(first, second, atMs));
	}

	boolean tableReachable(int site, long atMs) {
		return connected(site, Partition.TABLE, atMs);
	}

	static String accountId(int account) {
		return "account-" + account;
	}

}
