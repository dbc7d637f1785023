package io.verbenacleat.bench.evenload;

import java.util.Locale;

import org.HdrHistogram.Histogram;

/**
 * The measurements of one run. Not safe for use by several threads.
 */
final class LoadStatistics {

	static final String HEADER = "case,policy,busiest_to_mean,busiest_to_mean_p95,mean_requests,full_windows_pct,"
			+ "late_pct,first_event_p50_ms,first_event_p95_ms,first_event_p99_ms,estimate_error_pct,prefix_reads,polls,"
			+ "requests";

	private static final double RATIO_UNITS = 1_000;

	private final Histogram ratios = new Histogram(3);

	private final Histogram firstEventMs = new Histogram(3);

	private double requests;

	private double full;

	private long late;

	private double error;

	private double sumMs;

	long prefixReads;

	long polls;

	void window(double ratio, double meanRequests, double fullShare) {
		this.ratios.recordValue((long) (ratio * RATIO_UNITS));
		this.requests += meanRequests;
		this.full += fullShare;
	}

	void firstEvent(double elapsedMs, double targetMs, double expectedMs) {
		this.firstEventMs.recordValue((long) elapsedMs);
		this.late += (elapsedMs > targetMs) ? 1 : 0;
		this.error += Math.abs(elapsedMs - expectedMs);
		this.sumMs += elapsedMs;
	}

	double busiestToMean() {
		return this.ratios.getMean() / RATIO_UNITS;
	}

	double fullPercent() {
		return 100 * this.full / this.ratios.getTotalCount();
	}

	double latePercent() {
		return 100.0 * this.late / this.firstEventMs.getTotalCount();
	}

	String csvLine(String name, String policy) {
		long windows = this.ratios.getTotalCount();
		return String.format(Locale.ROOT, "%s,%s,%.2f,%.2f,%.1f,%.1f,%.2f,%d,%d,%d,%.0f,%d,%d,%d", name, policy,
				busiestToMean(), this.ratios.getValueAtPercentile(95) / RATIO_UNITS, this.requests / windows,
				100 * this.full / windows, latePercent(), this.firstEventMs.getValueAtPercentile(50),
				this.firstEventMs.getValueAtPercentile(95), this.firstEventMs.getValueAtPercentile(99),
				100 * this.error / this.sumMs, this.prefixReads, this.polls, this.firstEventMs.getTotalCount());
	}

}
