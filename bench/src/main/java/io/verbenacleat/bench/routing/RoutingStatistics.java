package io.verbenacleat.bench.routing;

import java.util.Locale;

import org.HdrHistogram.Histogram;

/**
 * Collects the measurements of one run. Not safe for use by several threads.
 */
final class RoutingStatistics {

	static final String HEADER = "case,policy,first_token_p50_ms,first_token_p95_ms,between_tokens_p95_ms,"
			+ "cache_hit_pct,load_p95_over_mean,broken,refused";

	private final Histogram firstTokenUs = new Histogram(3);

	private final Histogram betweenTokensUs = new Histogram(3);

	private final Histogram recordLoad = new Histogram(3);

	private long promptTokens;

	private long cachedTokens;

	/** The number of orders whose connection broke because their server crashed. */
	long broken;

	/**
	 * The number of attempts that a crashed server did not accept, and that were sent to
	 * another one.
	 */
	long refused;

	void recordFirstToken(long us, int prompt, int cached) {
		this.firstTokenUs.recordValue(us);
		this.promptTokens += prompt;
		this.cachedTokens += cached;
	}

	void recordBetweenTokens(long us) {
		this.betweenTokensUs.recordValue(us);
	}

	void recordLoad(int inProgress) {
		this.recordLoad.recordValue(inProgress);
	}

	double firstTokenMs(double percentile) {
		return this.firstTokenUs.getValueAtPercentile(percentile) / 1e3;
	}

	double betweenTokensMs() {
		return this.betweenTokensUs.getValueAtPercentile(95) / 1e3;
	}

	double hitPercent() {
		return 100.0 * this.cachedTokens / Math.max(1, this.promptTokens);
	}

	String csvLine(String caseName, String policy) {
		return String.format(Locale.ROOT, "%s,%s,%.0f,%.0f,%.1f,%.1f,%.2f,%d,%d", caseName, policy, firstTokenMs(50),
				firstTokenMs(95), betweenTokensMs(), hitPercent(),
				this.recordLoad.getValueAtPercentile(95) / this.recordLoad.getMean(), this.broken, this.refused);
	}

}
