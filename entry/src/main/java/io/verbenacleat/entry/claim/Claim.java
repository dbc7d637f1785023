package io.verbenacleat.entry.claim;

/**
 * A claim row with its key and version in the table store. Immutable.
 *
 * @param key the table key
 * @param version the version of the row, 1 or more
 * @param row the claim
 */
public record Claim(String key, long version, ClaimRow row) {
}
