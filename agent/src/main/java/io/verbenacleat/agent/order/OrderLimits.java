package io.verbenacleat.agent.order;

/**
 * Limits on the memory of the {@link OrderTable}. Immutable. A finished order takes an
 * estimated 1 KB, a gateway or a closed process an estimated 200 bytes; with the default
 * limits the table stays below 17 MB.
 *
 * @param maxInProgress the maximum number of orders that run or wait at a time
 * @param maxSlots the maximum number of order slots of all gateways together
 * @param maxProcesses the maximum number of gateways, and of closed processes, to
 * remember
 * @param maxRetainedBytes the maximum total size in bytes of responses retained for
 * {@code ResolveOrder}, including the space reserved for active not-repeatable orders
 * @param maxRequestBytes the maximum total size in bytes of the requests that run or wait
 */
public record OrderLimits(int maxInProgress, int maxSlots, int maxProcesses, long maxRetainedBytes,
		long maxRequestBytes) {

	/** A quarter of the heap; a single request has at most 4 MiB. */
	private static final long DEFAULT_REQUEST_BYTES = 32L * 1024 * 1024;

	/**
	 * Returns the default limits.
	 * @param maxInProgress the maximum number of orders that run or wait at a time, 1 or
	 * more
	 * @return the limits
	 */
	public static OrderLimits of(int maxInProgress) {
		return new OrderLimits(maxInProgress, 8_192, 10_000, 4L * 1024 * 1024, DEFAULT_REQUEST_BYTES);
	}

}
