package io.verbenacleat.router.budget;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The row in the store in which a router writes the limits of its spending. When the
 * router is lost, the next process at the same address releases the tokens above the
 * limits. Immutable.
 *
 * @param incarnation the incarnation of the router that wrote the row
 * @param peerAddress the address for calls of other routers, empty without one, {@code
 * null} in rows of older versions
 * @param number the sequence number of the write, which shows whether a write without a
 * response was applied
 * @param atMs the earliest time at which the write was sent, by the clock of the store in
 * milliseconds, -1 if unknown
 * @param limits the limits by workspace
 * @param era the era of the store in which the row was written; in a later one the router
 * may have spent more
 * @param capacityCores the processor capacity of its host in cores, 0 in rows of older
 * versions
 */
record RouterRow(String incarnation, @Nullable String peerAddress, long number, long atMs, Map<String, Limit> limits,
		long era, double capacityCores) {

	RouterRow {
		limits = Map.copyOf(limits);
	}

	/**
	 * Returns the row with other limits.
	 * @param remaining the limits by workspace
	 * @return the row, of the same incarnation and time
	 */
	RouterRow withLimits(Map<String, Limit> remaining) {
		return new RouterRow(this.incarnation, this.peerAddress, this.number, this.atMs, remaining, this.era,
				this.capacityCores);
	}

	/**
	 * The limit of a router for one workspace.
	 *
	 * @param givenTokens the tokens that the router was granted, less those it returned
	 * @param limitTokens the maximum that the router spends within
	 * {@link PrepaidLedger#LIMIT_TIMEOUT} of the write, at most {@code givenTokens}
	 */
	record Limit(long givenTokens, long limitTokens) {
	}

}
