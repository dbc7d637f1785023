package io.verbenacleat.router.budget;

/**
 * A router of the fleet according to its row in the store. Immutable.
 *
 * @param address the address for callers as {@code ip:port}
 * @param peerAddress the address for calls of other routers, empty without one
 * @param capacityCores the processor capacity of its host in cores, 0 if unknown
 */
public record FleetRouter(String address, String peerAddress, double capacityCores) {
}
