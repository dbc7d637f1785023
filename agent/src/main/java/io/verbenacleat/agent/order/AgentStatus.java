package io.verbenacleat.agent.order;

/**
 * What an agent reports besides its orders. Immutable.
 *
 * @param incarnation the incarnation of the agent
 * @param backendServer the backend server
 * @param configVersion the version of the configuration in use, 0 for none
 * @param backendReachable whether the backend server took the last connection
 */
public record AgentStatus(String incarnation, String backendServer, long configVersion, boolean backendReachable) {
}
