package io.verbenacleat.agent.order;

/**
 * The bounds of the order table's memory. Immutable. A finished order takes about 1 KB, a
 * gateway or a closed process about 200 bytes, reckoned; with the default bounds the
 * table stays below 17 MB.
 *
 * @param maxInProgress the most orders that run at a time
 * @param maxSlots the most orders above the marks that are kept one by one
 * @param maxProcesses the most gateways, and the most closed processes, that are kept
 * @param maxKeptBytes the most bytes of responses kept for {@code ResolveOrder}, with
 * room for those of running not-repeatable orders
 */
public record OrderLimits(int maxInProgress, int maxSlots, int maxProcesses, long maxKeptBytes) {

	/**
	 * Returns the default bounds.
	 * @param maxInProgress the most orders that run at a time, 1 or more
	 * @return the bounds
	 */
	public static OrderLimits of(int maxInProgress) {
		return new OrderLimits(maxInProgress, 8_192, 10_000, 4L * 1024 * 1024);
	}

}
