package io.verbenacleat.bench.grants;

/**
 * One request of a workload. Immutable.
 *
 * @param id the request id
 * @param atMs the arrival time, in milliseconds since the start of the run
 * @param account the index of the account that pays
 * @param site the index of the site whose entry receives it
 * @param reservedTokens the maximum usage, which is reserved
 * @param usedTokens the actual usage if it runs, at most the reservation
 * @param durationMs how long it runs, in milliseconds
 */
record WorkloadRequest(String id, long atMs, int account, int site, long reservedTokens, long usedTokens,
		long durationMs) {
}
