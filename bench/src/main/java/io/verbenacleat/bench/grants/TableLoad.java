package io.verbenacleat.bench.grants;

/**
 * Calls to the table service. Immutable.
 *
 * @param reads read calls
 * @param accountWrites write transactions on account rows, failed conditions included
 * @param journalWrites other write transactions
 */
record TableLoad(long reads, long accountWrites, long journalWrites) {
}
