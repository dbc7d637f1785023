package io.verbenacleat.bench.grants;

/**
 * The number of calls to the table service by kind. Immutable.
 *
 * @param reads the number of read calls
 * @param accountWrites the number of write transactions on account rows, including those
 * whose conditions failed
 * @param journalWrites the number of other write transactions
 */
record TableLoad(long reads, long accountWrites, long journalWrites) {
}
