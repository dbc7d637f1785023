package io.verbenacleat.router.balance;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.google.common.hash.Hashing;

/**
 * Sends requests with a common prompt to the server that has probably read it: rendezvous
 * hashing over the ids of the servers, which is the same at each router, bounded by load.
 * A prompt that is asked for often spreads to the next servers of its order when the
 * first one is full.
 */
public final class PrefixAffinitySelection implements SelectionPolicy {

	/** A server takes up to this multiple of the mean load. */
	private static final double LOAD_FACTOR = 1.5;

	/**
	 * Requests above the bound that are always allowed, so that few requests stay put.
	 */
	private static final double LOAD_SLACK = 4;

	/** Servers that fail more of their sends than this come after all others. */
	private static final double MAX_FAILURE_RATE = 0.3;

	private final SelectionPolicy fallback;

	/**
	 * Creates a policy.
	 * @param fallback chooses for requests without a common prompt, and when all
	 * servers are full
	 */
	public PrefixAffinitySelection(SelectionPolicy fallback) {
		this.fallback = fallback;
	}

	@Override
	public Candidate select(List<Candidate> candidates, long affinityKey) {
		if (affinityKey == 0) {
			return this.fallback.select(candidates, affinityKey);
		}
		double totalLoad = 0;
		for (Candidate candidate : candidates) {
			totalLoad += candidate.load();
		}
		double maxLoad = LOAD_FACTOR * totalLoad / candidates.size() + LOAD_SLACK;
		List<Candidate> ranked = new ArrayList<>(candidates);
		ranked.sort(Comparator.comparingLong((Candidate candidate) -> weight(candidate, affinityKey)));
		for (Candidate candidate : ranked) {
			if (candidate.load() < maxLoad && candidate.failureRate() <= MAX_FAILURE_RATE) {
				return candidate;
			}
		}
		return this.fallback.select(candidates, affinityKey);
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
