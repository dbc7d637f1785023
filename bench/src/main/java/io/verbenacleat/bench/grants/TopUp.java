package io.verbenacleat.bench.grants;

/**
 * Tokens that an operator adds to an account. Immutable.
 *
 * @param atMs the time, in milliseconds since the start
 * @param account the account
 * @param tokens the tokens
 */
record TopUp(long atMs, int account, long tokens) {
}
