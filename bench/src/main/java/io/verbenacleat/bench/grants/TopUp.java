package io.verbenacleat.bench.grants;

/**
 * A top-up of an account by an operator. Immutable.
 *
 * @param atMs the time of the top-up, in milliseconds since the start of the run
 * @param account the index of the account
 * @param tokens the number of tokens to add
 */
record TopUp(long atMs, int account, long tokens) {
}
