package io.verbenacleat.router.balance;

import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * Chooses the server with the least expected wait: its load, weighted by its latency and
 * by the share of its sends that failed. Ties are broken at random, so that routers do
 * not choose in step.
 */
public final class LeastLoadedSelection implements SelectionPolicy {

	/** One failure costs about four answers: the repeat and its wait. */
	private static final double FAILURE_COST = 4;

	/** Added to each load, so that latency also counts among idle servers. */
	private static final double BASE_LOAD = 1;

	/** A hop between availability zones adds about 3 ms to some 100 ms of work. */
	private static final double CROSS_ZONE_FACTOR = 1.05;

	/** The random part of a score, which spreads equal servers. */
	private static final double JITTER = 0.1;

	private static final double MIN_LATENCY_MS = 10;

	private final DoubleSupplier random;

	/**
	 * Creates a policy.
	 * @param random numbers from 0 inclusive to 1 exclusive
	 */
	public LeastLoadedSelection(DoubleSupplier random) {
		this.random = random;
	}

	@Override
	public Candidate select(List<Candidate> candidates, long affinityKey) {
		Candidate best = candidates.get(0);
		double bestScore = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			double score = score(candidate);
			if (score < bestScore) {
				bestScore = score;
				best = candidate;
			}
		}
		return best;
	}

	private double score(Candidate candidate) {
		double score = (candidate.load() + BASE_LOAD) * Math.max(candidate.latencyMs(), MIN_LATENCY_MS);
		score *= 1 + FAILURE_COST * candidate.failureRate();
		score *= candidate.sameZone() ? 1 : CROSS_ZONE_FACTOR;
		return score * (1 + JITTER * this.random.getAsDouble());
	}

}
