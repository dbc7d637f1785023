package io.verbenacleat.bench.hop;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * The times of the answers of one load, in microseconds. Safe for use by several threads.
 */
final class LoadTimes {

	private static final int DIGITS = 3;

	private final Histogram firstToken = new ConcurrentHistogram(DIGITS);

	private final Histogram gap = new ConcurrentHistogram(DIGITS);

	private final Histogram whole = new ConcurrentHistogram(DIGITS);

	private final Histogram failures = new ConcurrentHistogram(1);

	void token(boolean first, long nanos) {
		((first) ? this.firstToken : this.gap).recordValue(nanos / 1_000);
	}

	void ended(boolean complete, long nanos) {
		if (complete) {
			this.whole.recordValue(nanos / 1_000);
		}
		else {
			failed();
		}
	}

	void failed() {
		this.failures.recordValue(1);
	}

	double firstTokenMs(double percentile) {
		return this.firstToken.getValueAtPercentile(percentile) / 1_000.0;
	}

	double gapMs(double percentile) {
		return this.gap.getValueAtPercentile(percentile) / 1_000.0;
	}

	double meanSeconds() {
		return this.whole.getMean() / 1_000_000;
	}

	long complete() {
		return this.whole.getTotalCount();
	}

	long failures() {
		return this.failures.getTotalCount();
	}

}
