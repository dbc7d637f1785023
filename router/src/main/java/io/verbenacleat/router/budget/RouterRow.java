package io.verbenacleat.router.budget;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.verbenacleat.core.json.Json;
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

	/** All fields but the limits, with the largest figures and addresses. */
	private static final int MAX_FIXED_BYTES = 1_024;

	/** The names of the fields of a limit, with quotes and separators. */
	private static final int FIELD_BYTES = 40;

	RouterRow {
		limits = Map.copyOf(limits);
	}

	/**
	 * Returns the limits that fit in a row. Without a stated limit a router may spend all
	 * tokens that it was granted, and none of them are released when it is lost, so those
	 * are left out that would release least.
	 * @param limits the limits by workspace
	 * @param maxRowBytes the maximum size of the row in bytes
	 * @return the limits to state
	 */
	static Map<String, Limit> fitting(Map<String, Limit> limits, int maxRowBytes) {
		int room = maxRowBytes - MAX_FIXED_BYTES;
		if (limits.entrySet().stream().mapToInt(RouterRow::maxBytes).sum() <= room) {
			return limits;
		}
		Map<String, Limit> stated = new HashMap<>();
		List<Map.Entry<String, Limit>> ordered = limits.entrySet()
			.stream()
			.sorted(Comparator.comparingLong((Map.Entry<String, Limit> entry) -> -entry.getValue().releasableTokens()))
			.toList();
		for (Map.Entry<String, Limit> entry : ordered) {
			room -= maxBytes(entry);
			if (room >= 0) {
				stated.put(entry.getKey(), entry.getValue());
			}
		}
		return stated;
	}

	private static int maxBytes(Map.Entry<String, Limit> entry) {
		return Json.write(entry.getKey()).getBytes(StandardCharsets.UTF_8).length + FIELD_BYTES
				+ Long.toString(entry.getValue().givenTokens()).length()
				+ Long.toString(entry.getValue().limitTokens()).length();
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

		private long releasableTokens() {
			return this.givenTokens - this.limitTokens;
		}

		/**
		 * Returns the limit of a router that states none.
		 * @return a limit that releases no tokens
		 */
		Limit unstated() {
			return new Limit(this.givenTokens, this.givenTokens);
		}

	}

}
