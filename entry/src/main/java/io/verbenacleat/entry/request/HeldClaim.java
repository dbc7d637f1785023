package io.verbenacleat.entry.request;

import io.verbenacleat.entry.claim.ClaimRow;

/**
 * A claim of an idempotency key that a request holds. Immutable.
 *
 * @param key the table key
 * @param versionBefore the row version that the write of the claim required
 * @param row the claim as written
 */
record HeldClaim(String key, long versionBefore, ClaimRow row) {
}
