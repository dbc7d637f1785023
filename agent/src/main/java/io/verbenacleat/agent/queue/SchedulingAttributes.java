package io.verbenacleat.agent.queue;

/**
 * Attributes of an order that determine its place in the {@link OrderQueue}. Immutable.
 *
 * @param workspace the workspace that the order belongs to
 * @param priority the priority; lower is more urgent
 * @param timeoutAtMs the time at which the order times out, in milliseconds since the
 * epoch
 */
public record SchedulingAttributes(String workspace, int priority, long timeoutAtMs) {
}
