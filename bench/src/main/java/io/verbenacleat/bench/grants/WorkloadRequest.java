package io.verbenacleat.bench.grants;

/**
 * One request of the work. Immutable.
 *
 * @param id the request id
 * @param atMs when it arrives, in milliseconds since the start
 * @param account the account that pays
 * @param site the index of the site of its gateway
 * @param reservedTokens the worst case to reserve
 * @param usedTokens what it uses if it runs, at most the reservation
 * @param durationMs how long it runs
 */
record WorkloadRequest(String id, long atMs, int account, int site, long reservedTokens, long usedTokens, long durationMs) {
}
