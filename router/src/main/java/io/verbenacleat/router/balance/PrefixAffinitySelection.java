package io.verbenacleat.router.balance;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.hash.Hashing;

/**
 * Selects the same server for requests with a common prompt prefix, so that the server
 * can reuse its prompt cache. Uses rendezvous hashing over the server ids, which ranks
 * the servers identically on every router, with bounded loads: when the first server of
 * the ranking reaches the load limit, requests go to the next one. Not safe for use by
 * several threads.
 */
public final class PrefixAffinitySelection implements SelectionPolicy {

	/** Load limit of a server as a multiple of the mean load. */
	private static final double LOAD_FACTOR = 1.5;

	/**
	 * Requests added to the load limit, so that sessions stay on their server while the
	 * load is low.
	 */
	private static final double LOAD_SLACK = 4;

	/**
	 * Servers with a higher failure rate are skipped unless no other server is below the
	 * load limit.
	 */
	private static final double MAX_FAILURE_RATE = 0.3;

	private final SelectionPolicy fallback;

	/**
	 * Creates a policy.
	 * @param fallback selects for requests without an affinity key, and when no server is
	 * below the load limit and the maximum failure rate
	 */
	public PrefixAffinitySelection(SelectionPolicy fallback) {
		this.fallback = fallback;
	}

	@Override
	public Candidate select(List<Candidate> candidates, RequestDescription request) {
		if (request.affinityKey() == 0) {
			return this.fallback.select(candidates, request);
		}
		double totalLoad = 0;
		for (Candidate candidate : candidates) {
			totalLoad += candidate.load();
		}
		double maxLoad = LOAD_FACTOR * totalLoad / candidates.size() + LOAD_SLACK;
		Candidate first = null;
		long firstWeight = 0;
		for (Candidate candidate : candidates) {
			if (candidate.load() < maxLoad && candidate.failureRate() <= MAX_FAILURE_RATE) {
				long weight = weight(candidate, request.affinityKey());
				if (first == null || weight < firstWeight) {
					first = candidate;
					firstWeight = weight;
				}
			}
		}
		return (first != null) ? first : this.fallback.select(candidates, request);
	}

	private static long weight(Candidate candidate, long affinityKey) {
		return Hashing.murmur3_128()
			.newHasher()
			.putString(candidate.server().id(), StandardCharsets.UTF_8)
			.putLong(affinityKey)
			.hash()
			.asLong();
	}

}
