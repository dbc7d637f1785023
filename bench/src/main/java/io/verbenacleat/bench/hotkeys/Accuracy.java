package io.verbenacleat.bench.hotkeys;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Measures how well a structure finds the most frequent keys, averaged over several
 * points in time of one stream. Not safe for use by several threads.
 */
final class Accuracy {

	private static final int SAMPLES = 12;

	private final KeyStream stream;

	private final int limit;

	private int samples;

	private double precisionSum;

	private double recallSum;

	private double errorSum;

	private Accuracy(KeyStream stream, int limit) {
		this.stream = stream;
		this.limit = limit;
	}

	/**
	 * Adds a stream to a structure and to exact counts, and compares the two at several
	 * points in time.
	 * @param stream the stream
	 * @param structure the structure
	 * @param limits the numbers of most frequent keys to compare
	 * @return one result for each limit
	 */
	static List<Accuracy> measure(KeyStream stream, CountingStructure structure, List<Integer> limits) {
		List<Accuracy> results = limits.stream().map((limit) -> new Accuracy(stream, limit)).toList();
		FrequentKeys measured = structure.factory().apply(stream.decay());
		FrequentKeys exact = new ExactKeys(stream.decay());
		int length = stream.keys().length;
		int from = 0;
		// The samples leave out the first quarter, in which shifts have little effect
		// yet.
		for (int sample = 1; sample <= SAMPLES; sample++) {
			int to = length / 4 + (int) (3L * length / 4 * sample / SAMPLES);
			stream.addTo(measured, from, to);
			stream.addTo(exact, from, to);
			from = to;
			long nowMs = stream.timeMs(to - 1);
			results.forEach((result) -> result.compare(measured, exact, nowMs));
		}
		return results;
	}

	private void compare(FrequentKeys measured, FrequentKeys exact, long nowMs) {
		List<Counter> found = measured.top(this.limit, this.stream.decay(), nowMs);
		Map<Long, Double> trueCounts = new HashMap<>();
		exact.counters()
			.forEach((counter) -> trueCounts.put(counter.key, counter.copyAt(this.stream.decay(), nowMs).count));
		Set<Long> expected = exact.top(this.limit, this.stream.decay(), nowMs)
			.stream()
			.map((counter) -> counter.key)
			.collect(Collectors.toCollection(HashSet::new));
		double hits = found.stream().filter((counter) -> expected.contains(counter.key)).count();
		this.samples++;
		this.precisionSum += hits / Math.max(1, found.size());
		this.recallSum += hits / expected.size();
		this.errorSum += found.stream()
			.mapToDouble((counter) -> Math.abs(counter.count / trueCounts.getOrDefault(counter.key, counter.count) - 1))
			.average()
			.orElse(0);
	}

	double precision() {
		return this.precisionSum / this.samples;
	}

	double recall() {
		return this.recallSum / this.samples;
	}

	/**
	 * Returns the mean relative error of the counts of the keys that the structure found.
	 * @return the relative error, 0 or more
	 */
	double countError() {
		return this.errorSum / this.samples;
	}

}
