package io.verbenacleat.standins;

/**
 * One call that the booking stand-in executed. Immutable.
 *
 * @param sequence its place in the order of execution, from 1
 * @param method the HTTP method
 * @param path the path
 * @param requestId the header {@code Verbena-Request-Id}, empty without one
 * @param idempotencyKey the header {@code Idempotency-Key}, empty without one
 * @param atMs when it was executed, in milliseconds since the epoch
 */
public record BookingCall(long sequence, String method, String path, String requestId, String idempotencyKey,
		long atMs) {
}
