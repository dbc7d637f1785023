package io.verbenacleat.router.config;

/**
 * A service that backend servers provide. Immutable.
 *
 * @param name the name
 * @param maxConnections the maximum number of connections that a server accepts in total
 * @param modelService whether the servers run language models
 * @param tokensPerEvent the number of tokens in one event of a stream, 1 or more
 */
public record Service(String name, int maxConnections, boolean modelService, int tokensPerEvent) {
}
