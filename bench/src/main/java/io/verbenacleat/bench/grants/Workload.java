package io.verbenacleat.bench.grants;

import java.util.List;

/**
 * The requests, top-ups and faults of one run. All schemes run the same workload.
 * Immutable.
 *
 * @param sites the number of sites
 * @param holdersPerSite the number of holders at each site
 * @param durationMs the length of the run, in milliseconds
 * @param budgetTokens the initial budget of each account
 * @param requests the requests in arrival order
 * @param topUps the later top-ups in chronological order
 * @param crashes the crashes of holders in chronological order
 * @param partitions the network partitions
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
