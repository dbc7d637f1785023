package io.verbenacleat.router.config;

/**
 * A service that backend servers offer.
 *
 * @param name the name
 * @param maxConnections the connections that a server accepts from all callers together
 * @param modelService whether its servers run language models
 * @param tokensPerEvent the tokens in one event of a stream, 1 or more
 */
public record Service(String name, int maxConnections, boolean modelService, int tokensPerEvent) {
}
