package io.verbenacleat.router.config;

/**
 * Size limits and timeouts for requests of callers. Immutable.
 *
 * @param headerBytes the maximum size of a request head in bytes
 * @param bodyBytes the maximum size of a request body in bytes
 * @param headerTimeoutMs the timeout for receiving the request head in milliseconds
 * @param idleTimeoutMs the idle timeout of a connection in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
}
