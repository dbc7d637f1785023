package io.verbenacleat.agent.queue;

/**
 * What the queue knows of an order. Immutable.
 *
 * @param workspace the workspace that the order belongs to
 * @param priority the priority; lower is more urgent
 * @param timeoutAtMs when its timeout passes, in milliseconds since the epoch
 */
public record SchedulingAttributes(String workspace, int priority, long timeoutAtMs) {
}
