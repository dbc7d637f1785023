package io.verbenacleat.router.balance;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which share of all requests has a prompt prefix. The requests of one router
 * are a sample of those of all routers. Not safe for use by several threads.
 */
final class PrefixDemand {

	private static final double DECAY_MS = 10_000;

	private static final int MAX_PREFIXES = 1_024;

	/** Keeps a router with few requests from spreading a prefix after one request. */
	private static final double PRIOR_REQUESTS = 20;

	private final Map<Long, Count> counts = new LinkedHashMap<>(16, 0.75F, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Count> eldest) {
			return size() > MAX_PREFIXES;
		}

	};

	private final Count all = new Count();

	/**
	 * Counts a request.
	 * @param affinityKey the key of the prefix
	 * @param nowMs the steady time in milliseconds
	 * @return the share of requests with the prefix, 0 to 1
	 */
	double count(long affinityKey, long nowMs) {
		double total = this.all.add(nowMs);
		double own = this.counts.computeIfAbsent(affinityKey, (key) -> new Count()).add(nowMs);
		return Math.max(0, own - 1) / (total + PRIOR_REQUESTS);
	}

	private static final class Count {

		private double count;

		private long countedAtMs;

		private double add(long nowMs) {
			this.count = this.count * Math.exp((this.countedAtMs - nowMs) / DECAY_MS) + 1;
			this.countedAtMs = nowMs;
			return this.count;
		}

	}

}
