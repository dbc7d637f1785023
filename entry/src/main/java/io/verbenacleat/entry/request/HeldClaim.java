package io.verbenacleat.entry.request;

import io.verbenacleat.entry.claim.ClaimRow;

/**
 * The claim that a request holds. Immutable.
 *
 * @param key the table key
 * @param versionBefore the version on which the claim was conditional
 * @param row the claim as it was written
 */
record HeldClaim(String key, long versionBefore, ClaimRow row) {
}
