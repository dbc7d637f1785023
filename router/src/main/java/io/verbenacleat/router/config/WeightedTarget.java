package io.verbenacleat.router.config;

/**
 * A service that takes a part of the requests of a route.
 *
 * @param service the name of the service
 * @param weight the weight beside the other targets, zero or more
 */
public record WeightedTarget(String service, double weight) {
}
