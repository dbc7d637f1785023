package io.verbenacleat.router.config;

/**
 * A service that receives a share of the requests of a route. Immutable.
 *
 * @param service the name of the service
 * @param weight the weight relative to the other targets, zero or more
 */
public record WeightedTarget(String service, double weight) {
}
