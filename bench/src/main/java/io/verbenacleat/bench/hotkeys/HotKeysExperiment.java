package io.verbenacleat.bench.hotkeys;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.verbenacleat.bench.Experiment;
import io.verbenacleat.bench.ResultFiles;
import io.verbenacleat.bench.control.Meter;

/**
 * Compares structures that find the most frequent keys of a stream with decay over time.
 * Reports the CPU time per update, the retained memory and the accuracy. Immutable.
 */
public final class HotKeysExperiment implements Experiment {

	private static final String HEADER = "stream,structure,update_ns_median,update_ns_min,update_ns_max,"
			+ "retained_bytes,precision_100,recall_100,count_error_100,precision_1000,recall_1000,count_error_1000";

	private static final List<Integer> LIMITS = List.of(100, 1_000);

	/** The request rate of the whole fleet at the peak of the target scale. */
	private static final double REQUESTS_PER_SECOND = 3_500;

	private static final int WARM_UPS = 2;

	private static final int REPETITIONS = 7;

	private final int arrivals;

	/**
	 * Creates the experiment with streams of two million arrivals.
	 */
	public HotKeysExperiment() {
		this(2_000_000);
	}

	HotKeysExperiment(int arrivals) {
		this.arrivals = arrivals;
	}

	@Override
	public boolean run(long seed, ResultFiles results, PrintStream out) throws IOException {
		List<String> lines = new ArrayList<>();
		Map<String, Double> medians = new LinkedHashMap<>();
		for (KeyStream stream : streams(seed)) {
			Map<String, double[]> times = times(stream);
			for (CountingStructure structure : CountingStructure.all()) {
				double[] nanos = times.getOrDefault(structure.name(), new double[REPETITIONS]);
				medians.put(stream.name() + " " + structure.name(), nanos[REPETITIONS / 2]);
				String line = csvLine(stream, structure, nanos);
				lines.add(line);
				out.println(line);
			}
		}
		results.writeCsv("hot-keys", HEADER, lines);
		results.writeBarChart("hot-keys", "CPU time per update, ns", medians);
		out.println("hot-keys seed=" + seed + " arrivals=" + this.arrivals + " rows=" + lines.size());
		return true;
	}

	private List<KeyStream> streams(long seed) {
		Decay decay = new Decay(60_000);
		return List.of(KeyStream.generate("accounts", seed, 26_000, this.arrivals, REQUESTS_PER_SECOND, decay),
				KeyStream.generate("prefixes", seed + 1, 1_000_000, this.arrivals, REQUESTS_PER_SECOND, decay));
	}

	/**
	 * Measures the time per update. The runs of the structures alternate, so that other
	 * load on the machine and the state of the JIT compiler affect all of them alike.
	 * @param stream the stream
	 * @return the sorted times by structure, in nanoseconds
	 */
	private static Map<String, double[]> times(KeyStream stream) {
		Map<String, double[]> times = new LinkedHashMap<>();
		for (int repetition = -WARM_UPS; repetition < REPETITIONS; repetition++) {
			for (CountingStructure structure : CountingStructure.all()) {
				double nanos = updateNanos(stream, structure);
				if (repetition >= 0) {
					times.computeIfAbsent(structure.name(), (name) -> new double[REPETITIONS])[repetition] = nanos;
				}
			}
		}
		times.values().forEach(Arrays::sort);
		return times;
	}

	private static double updateNanos(KeyStream stream, CountingStructure structure) {
		FrequentKeys keys = structure.factory().apply(stream.decay());
		int length = stream.keys().length;
		stream.addTo(keys, 0, length / 2);
		return Meter.cpuMicros(() -> stream.addTo(keys, length / 2, length)) * 1_000 / (length - length / 2);
	}

	private static String csvLine(KeyStream stream, CountingStructure structure, double[] nanos) {
		double bytes = Meter.retainedBytes(() -> {
			FrequentKeys keys = structure.factory().apply(stream.decay());
			stream.addTo(keys, 0, stream.keys().length);
			return keys;
		});
		StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%s,%s,%.0f,%.0f,%.0f,%.0f", stream.name(),
				structure.name(), nanos[nanos.length / 2], nanos[0], nanos[nanos.length - 1], bytes));
		for (Accuracy accuracy : Accuracy.measure(stream, structure, LIMITS)) {
			line.append(String.format(Locale.ROOT, ",%.4f,%.4f,%.4f", accuracy.precision(), accuracy.recall(),
					accuracy.countError()));
		}
		return line.toString();
	}

}
