package io.verbenacleat.standins;

/**
 * Record of one call that the booking stand-in executed. Immutable.
 *
 * @param sequence the position in the order of execution, from 1
 * @param method the HTTP method
 * @param path the path of the request
 * @param requestId the header {@code Verbena-Request-Id}, empty when absent
 * @param idempotencyKey the header {@code Idempotency-Key}, empty when absent
 * @param atMs the time of execution, in milliseconds since the epoch
 */
public record BookingCall(long sequence, String method, String path, String requestId, String idempotencyKey,
		long atMs) {
}
