package io.verbenacleat.router.balance;

import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * Selects the server with the earliest expected first event, by {@link ServerLoadModel}.
 * Requests with a common prompt prefix prefer the same servers: the time in which a
 * server reads the prefix is added in proportion to the logarithm of its rank in a
 * rendezvous hash of the prefix, which is identical on every router. A prefix therefore
 * stays on the first servers of its ranking until these are later by the time to read it
 * elsewhere. Not safe for use by several threads.
 */
public final class ExpectedTimeSelection implements SelectionPolicy {

	/** Weight of the failure rate, as in {@link LeastLoadedSelection}. */
	private static final double FAILURE_COST = 4;

	/** Penalty for another availability zone, as in {@link LeastLoadedSelection}. */
	private static final double CROSS_ZONE_FACTOR = 1.05;

	/** Observations of the mean speed that are added to those of each server. */
	private static final double MEAN_SAMPLES = 4;

	private static final double JITTER = 0.1;

	private static final double REQUEST_TOKENS = 200;

	private static final double LONG_RANGE = 0x1p53;

	private final DoubleSupplier random;

	private final LongSupplier clock;

	private final Weights weights;

	/**
	 * Creates a policy with the default weights.
	 * @param random supplies random numbers from 0 inclusive to 1 exclusive
	 * @param clock supplies the steady time in milliseconds
	 */
	public ExpectedTimeSelection(DoubleSupplier random, LongSupplier clock) {
		this(random, clock, Weights.DEFAULT);
	}

	/**
	 * Creates a policy.
	 * @param random supplies random numbers from 0 inclusive to 1 exclusive
	 * @param clock supplies the steady time in milliseconds
	 * @param weights the weights
	 */
	public ExpectedTimeSelection(DoubleSupplier random, LongSupplier clock, Weights weights) {
		this.random = random;
		this.clock = clock;
		this.weights = weights;
	}

	@Override
	public Candidate select(List<Candidate> candidates, RequestDescription request) {
		long nowMs = this.clock.getAsLong();
		double meanMsPerToken = 0;
		double samples = 0;
		for (Candidate candidate : candidates) {
			ServerLoadModel model = candidate.model();
			if (model != null && model.speedSamples() > 0) {
				meanMsPerToken += model.msPerToken();
				samples++;
			}
		}
		meanMsPerToken = (samples > 0) ? meanMsPerToken / samples : 0.01;
		double rankScale = Math.log1p(candidates.size());
		Candidate best = candidates.get(0);
		double bestScore = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			double score = score(candidate, request, meanMsPerToken, rankScale, candidates.size(), nowMs);
			if (score < bestScore) {
				bestScore = score;
				best = candidate;
			}
		}
		return best;
	}

	private double score(Candidate candidate, RequestDescription request, double meanMsPerToken, double rankScale,
			int count, long nowMs) {
		ServerLoadModel model = candidate.model();
		if (model == null) {
			return Double.MAX_VALUE;
		}
		double samples = Math.min(model.speedSamples(), 20);
		double msPerToken = (samples * model.msPerToken() + MEAN_SAMPLES * meanMsPerToken) / (samples + MEAN_SAMPLES);
		double tokens = REQUEST_TOKENS + request.promptTokens() - request.sharedTokens();
		tokens += this.weights.unread() * model.unreadTokens(nowMs);
		tokens += this.weights.recent() * model.recentTokens(nowMs);
		tokens += this.weights.requests() * model.requests(nowMs);
		if (request.affinityKey() != 0 && this.weights.affinity() > 0) {
			double rank = uniform(candidate.server().id(), request.affinityKey()) * count;
			tokens += this.weights.affinity() * Math.max(REQUEST_TOKENS, request.sharedTokens()) * Math.log1p(rank)
					/ rankScale;
		}
		double score = tokens * msPerToken + model.slotWaitMs(nowMs);
		score *= 1 + FAILURE_COST * candidate.failureRate();
		score *= candidate.sameZone() ? 1 : CROSS_ZONE_FACTOR;
		return score * (1 + JITTER * this.random.getAsDouble());
	}

	// A number from 0 to 1 that depends only on the server and the key.
	private static double uniform(String serverId, long affinityKey) {
		// The string caches its hash. The rest is the finalizer of MurmurHash3.
		long hash = affinityKey ^ (serverId.hashCode() * 0x9E3779B97F4A7C15L);
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
		hash ^= hash >>> 33;
		return (hash >>> 11) / LONG_RANGE;
	}

	/**
	 * The weights of the parts of the expected time. Immutable.
	 *
	 * @param unread the weight of the tokens that the server reads before the request
	 * @param recent the weight of the tokens that this router has sent lately
	 * @param requests the tokens that each request at the server counts as, because it
	 * lengthens the steps of the engine
	 * @param affinity the weight of reading the prompt prefix on one more server
	 */
	public record Weights(double unread, double recent, double requests, double affinity) {

		/** The weights with the best results in the experiment {@code even-load}. */
		public static final Weights DEFAULT = new Weights(1, 0.2, 50, 2);

	}

}
