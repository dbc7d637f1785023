package io.verbenacleat.entry.claim;

/**
 * A claim row as it was read or written. Immutable.
 *
 * @param key the table key
 * @param version the version, more than 0
 * @param row the row
 */
public record Claim(String key, long version, ClaimRow row) {
}
