package io.verbenacleat.agent.order;

/**
 * The bounds of the order table's memory. Immutable. A finished order takes about 1 KB, a
 * gateway or a closed process about 200 bytes, reckoned; with the default bounds the
 * table stays below 17 MB.
 *
 * @param maxInProgress the most orders that run or wait at a time
 * @param maxSlots the most orders above the marks that are kept one by one
 * @param maxProcesses the most gateways, and the most closed processes, that are kept
 * @param maxRetainedBytes the most bytes of responses kept for {@code ResolveOrder}, with
 * room for those of running not-repeatable orders
 * @param maxRequestBytes the most bytes of the requests that run or wait
 */
public record OrderLimits(int maxInProgress, int maxSlots, int maxProcesses, long maxRetainedBytes, long maxRequestBytes) {

	/** A quarter of the heap; the largest request has 4 MiB. */
	private static final long DEFAULT_REQUEST_BYTES = 32L * 1024 * 1024;

	/**
	 * Returns the default bounds.
	 * @param maxInProgress the most orders that run or wait at a time, 1 or more
	 * @return the bounds
	 */
	public static OrderLimits of(int maxInProgress) {
		return new OrderLimits(maxInProgress, 8_192, 10_000, 4L * 1024 * 1024, DEFAULT_REQUEST_BYTES);
	}

}
