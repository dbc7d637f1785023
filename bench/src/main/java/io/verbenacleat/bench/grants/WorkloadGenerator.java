package io.verbenacleat.bench.grants;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates the workload of a run from a seed. Not safe for use by several threads.
 * <p>
 * The popularity of accounts follows a Zipf distribution, and most requests of an account
 * come from its main site. Responses use about an eighth of their reservation. Budgets
 * are drawn so that many of them are exhausted during the run, and some of these are
 * topped up.
 */
final class WorkloadGenerator {

	private static final int SITES = 3;

	private static final int HOLDERS_PER_SITE = 4;

	private static final int ACCOUNTS = 300;

	private static final double REQUESTS_PER_SECOND = 20;

	private static final double MEAN_USED_TOKENS = 500;

	private static final double MEAN_DURATION_MS = 8_000;

	private static final double MAIN_SITE_SHARE = 0.7;

	private static final long[] RESERVED_TOKENS = { 2_048, 4_096, 8_192 };

	private static final int PARTITIONS_PER_KIND = 6;

	private static final int CRASHES = 6;

	private final UniformRandomProvider random;

	private final long durationMs;

	WorkloadGenerator(long seed, long durationMs) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.durationMs = durationMs;
	}

	Workload generate() {
		List<WorkloadRequest> requests = requests();
		List<Long> budgets = new ArrayList<>();
		List<TopUp> topUps = new ArrayList<>();
		long[] demandTokens = new long[ACCOUNTS];
		requests.forEach((request) -> demandTokens[request.account()] += request.usedTokens());
		for (int account = 0; account < ACCOUNTS; account++) {
			double share = 0.2 + 1.4 * this.random.nextDouble();
			budgets.add(Math.max(RESERVED_TOKENS[0], (long) (share * demandTokens[account])));
			if (share < 1 && this.random.nextBoolean()) {
				long atMs = (long) (this.durationMs * (0.3 + 0.6 * this.random.nextDouble()));
				topUps.add(new TopUp(atMs, account, Math.max(RESERVED_TOKENS[0], demandTokens[account] / 3)));
			}
		}
		topUps.sort(Comparator.comparingLong(TopUp::atMs));
		return new Workload(SITES, HOLDERS_PER_SITE, this.durationMs, budgets, requests, topUps, crashes(),
				partitions());
	}

	private List<WorkloadRequest> requests() {
		SharedStateDiscreteSampler accounts = RejectionInversionZipfSampler.of(this.random, ACCOUNTS, 1.0);
		SharedStateContinuousSampler exponential = ZigguratSampler.Exponential.of(this.random);
		List<WorkloadRequest> requests = new ArrayList<>();
		double atMs = 0;
		while (atMs < this.durationMs) {
			atMs += exponential.sample() * TimeUnit.SECONDS.toMillis(1) / REQUESTS_PER_SECOND;
			int account = accounts.sample() - 1;
			boolean main = this.random.nextDouble() < MAIN_SITE_SHARE;
			int site = (main) ? account % SITES : this.random.nextInt(SITES);
			long reserved = RESERVED_TOKENS[this.random.nextInt(RESERVED_TOKENS.length)];
			long used = Math.min(reserved, 1 + (long) (exponential.sample() * MEAN_USED_TOKENS));
			long runMs = 200 + (long) (exponential.sample() * MEAN_DURATION_MS);
			requests
				.add(new WorkloadRequest("req-" + requests.size(), (long) atMs, account, site, reserved, used, runMs));
		}
		return requests;
	}

	private List<Partition> partitions() {
		List<Partition> partitions = new ArrayList<>();
		for (int i = 0; i < PARTITIONS_PER_KIND; i++) {
			int site = i % SITES;
			partitions.add(partition(site, Partition.TABLE));
			partitions.add(partition(site, (site + 1) % SITES));
		}
		return partitions;
	}

	private Partition partition(int site, int other) {
		long lengthMs = TimeUnit.MINUTES.toMillis(3 + this.random.nextInt(88));
		long fromMs = (long) (this.random.nextDouble() * this.durationMs);
		return new Partition(fromMs, fromMs + lengthMs, site, other);
	}

	private List<HolderCrash> crashes() {
		List<HolderCrash> crashes = new ArrayList<>();
		for (int i = 0; i < CRASHES; i++) {
			long atMs = (long) (this.random.nextDouble() * this.durationMs);
			crashes.add(new HolderCrash(atMs, this.random.nextInt(SITES), this.random.nextInt(HOLDERS_PER_SITE)));
		}
		crashes.sort(Comparator.comparingLong(HolderCrash::atMs));
		return crashes;
	}

}
