package io.verbenacleat.router.budget;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The row in which one router states what it may have spent at most. The next process at
 * the same address frees the rest. Immutable.
 *
 * @param incarnation the run of the router that wrote the row
 * @param peerAddress where the router listens for other routers, empty when it does not,
 * {@code null} in rows of older versions
 * @param number the number of the write, which tells whether a write without an answer
 * took effect
 * @param atMs when the write was sent at the earliest, by the clock of the store, -1 when
 * it was not known
 * @param limits the limits by workspace
 */
record RouterRow(String incarnation, @Nullable String peerAddress, long number, long atMs, Map<String, Limit> limits) {

	RouterRow {
		limits = Map.copyOf(limits);
	}

	/**
	 * Tokens that this run of a router may spend of one workspace.
	 *
	 * @param givenTokens the tokens that it took, less those that it gave back
	 * @param limitTokens the tokens that it spends at most within
	 * {@link PrepaidLedger#LIMIT_TIMEOUT} of the write, at most the given ones
	 */
	record Limit(long givenTokens, long limitTokens) {
	}

}
