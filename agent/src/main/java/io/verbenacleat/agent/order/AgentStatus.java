package io.verbenacleat.agent.order;

/**
 * Status of an agent apart from its orders. Immutable.
 *
 * @param incarnation the incarnation of the agent
 * @param backendServer the name of the backend server
 * @param configVersion the version of the configuration in use, 0 for none
 * @param backendReachable whether the last connection attempt to the backend server
 * succeeded
 */
public record AgentStatus(String incarnation, String backendServer, long configVersion, boolean backendReachable) {
}
