package io.verbenacleat.bench.hop;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Collects the response times of one load, in microseconds. Safe for use by several
 * threads.
 */
final class LoadTimes {

	private static final int SIGNIFICANT_DIGITS = 3;

	private final Histogram firstTokenUs = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	private final Histogram gapUs = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	private final Histogram totalUs = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	private final Histogram failures = new ConcurrentHistogram(1);

	void recordToken(boolean first, long nanos) {
		((first) ? this.firstTokenUs : this.gapUs).recordValue(nanos / 1_000);
	}

	void recordEnd(boolean complete, long nanos) {
		if (complete) {
			this.totalUs.recordValue(nanos / 1_000);
		}
		else {
			recordFailure();
		}
	}

	void recordFailure() {
		this.failures.recordValue(1);
	}

	double firstTokenMs(double percentile) {
		return this.firstTokenUs.getValueAtPercentile(percentile) / 1_000.0;
	}

	double gapMs(double percentile) {
		return this.gapUs.getValueAtPercentile(percentile) / 1_000.0;
	}

	double meanSeconds() {
		return this.totalUs.getMean() / 1_000_000;
	}

	long completed() {
		return this.totalUs.getTotalCount();
	}

	long failures() {
		return this.failures.getTotalCount();
	}

}
