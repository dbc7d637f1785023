package io.verbenacleat.router.balance;

import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * Selects the server with the earliest expected first event, by {@link ServerLoadModel}.
 * Requests with a common prompt prefix prefer the same servers: each server has a rank in
 * a rendezvous hash of the prefix, which is about the same on every router. The time to
 * read the prefix is added, the more the rank exceeds the number of servers that the
 * demand for the prefix needs. A prefix is read elsewhere when these are clearly later.
 * Not safe for use by several threads.
 */
public final class ExpectedTimeSelection implements SelectionPolicy {

	/** Weight of the failure rate, as in {@link LeastLoadedSelection}. */
	private static final double FAILURE_COST = 4;

	/** Penalty for another availability zone, as in {@link LeastLoadedSelection}. */
	private static final double CROSS_ZONE_FACTOR = 1.05;

	private static final double JITTER = 0.1;

	private static final double LONG_RANGE = 0x1p53;

	private final DoubleSupplier random;

	private final LongSupplier clock;

	private final Weights weights;

	/** Keeps requests that may crash servers on one server up to its load limit. */
	private final SelectionPolicy suspectPolicy;

	private final PrefixDemand demand = new PrefixDemand();

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
		this.suspectPolicy = new PrefixAffinitySelection(new LeastLoadedSelection(random));
	}

	@Override
	public Candidate select(List<Candidate> candidates, RequestDescription request) {
		if (request.suspect()) {
			return this.suspectPolicy.select(candidates, request);
		}
		long nowMs = this.clock.getAsLong();
		double replicas = 1;
		if (request.affinityKey() != 0) {
			replicas += this.weights.replicas() * candidates.size() * this.demand.count(request.affinityKey(), nowMs);
		}
		double rankScale = candidates.size() / replicas;
		Candidate best = candidates.get(0);
		double bestScore = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			double score = score(candidate, request, rankScale, nowMs);
			if (score < bestScore) {
				bestScore = score;
				best = candidate;
			}
		}
		return best;
	}

	private double score(Candidate candidate, RequestDescription request, double rankScale, long nowMs) {
		ServerLoadModel model = candidate.model();
		if (model == null) {
			return Double.MAX_VALUE;
		}
		double tokens = ServerLoadModel.REQUEST_TOKENS + request.promptTokens() - request.sharedTokens();
		tokens += this.weights.unread() * model.unreadTokens(nowMs);
		tokens += this.weights.recent() * model.recentTokens(nowMs);
		tokens += this.weights.requests() * model.requests();
		if (request.affinityKey() != 0 && this.weights.affinity() > 0) {
			double rank = uniform(candidate.server().id(), request.affinityKey()) * rankScale * model.slowness();
			tokens += this.weights.affinity() * Math.max(ServerLoadModel.REQUEST_TOKENS, request.sharedTokens()) * rank
					* rank / (1 + rank * rank);
		}
		double score = tokens * model.msPerToken() + model.slotWaitMs();
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
	 * @param replicas the servers for a prompt prefix relative to its share of the
	 * requests
	 */
	public record Weights(double unread, double recent, double requests, double affinity, double replicas) {

		/** The weights with the best results in the experiment {@code even-load}. */
		public static final Weights DEFAULT = new Weights(1, 0.2, 200, 4, 3);

	}

}
