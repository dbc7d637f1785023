package io.verbenacleat.router.config;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes the largest head of a request in bytes
 * @param bodyBytes the largest body in bytes
 * @param headerTimeoutMs the longest time for the head in milliseconds
 * @param idleTimeoutMs the longest idle time of a connection in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
}
