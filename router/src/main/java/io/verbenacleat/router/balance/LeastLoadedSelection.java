package io.verbenacleat.router.balance;

import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * Selects the server with the lowest expected wait, which is its load weighted by its
 * latency and its failure rate. Scores are jittered so that routers with the same view do
 * not all select the same server. Not safe for use by several threads.
 */
public final class LeastLoadedSelection implements SelectionPolicy {

	/**
	 * Weight of the failure rate. A failed send costs about as much as four responses,
	 * because of the retry and the wait before it.
	 */
	private static final double FAILURE_COST = 4;

	/** Added to each load, so that latency also differentiates idle servers. */
	private static final double BASE_LOAD = 1;

	/**
	 * Penalty for another availability zone. The hop adds about 3 ms to requests that
	 * take about 100 ms.
	 */
	private static final double CROSS_ZONE_FACTOR = 1.05;

	/**
	 * Maximum jitter as a fraction of a score, which spreads requests over equal servers.
	 */
	private static final double JITTER = 0.1;

	private static final double MIN_LATENCY_MS = 10;

	private final DoubleSupplier random;

	/**
	 * Creates a policy.
	 * @param random supplies random numbers from 0 inclusive to 1 exclusive
	 */
	public LeastLoadedSelection(DoubleSupplier random) {
		this.random = random;
	}

	@Override
	public Candidate select(List<Candidate> candidates, RequestDescription request) {
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
