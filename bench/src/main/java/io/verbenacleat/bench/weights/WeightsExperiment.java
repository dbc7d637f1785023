package io.verbenacleat.bench.weights;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

import io.verbenacleat.bench.Experiment;
import io.verbenacleat.bench.ResultFiles;

/**
 * Compares schemes by which agents share the rate limit of the weight store after the
 * restart of a zone. Reports the time until each model has a server, the time until all
 * agents have loaded, refused fetches, and the load on the table service. Stateless.
 */
public final class WeightsExperiment implements Experiment {

	private static final String HEADER = "fetches_per_minute,starts_within_s,scheme,first_s_median,first_s_max,all_s_median,all_s_max,"
			+ "refused_median,refused_max,peak_per_s_median,reads_median,writes_median";

	private static final List<Integer> RATES = List.of(10, 60);

	private static final List<Integer> START_SECONDS = List.of(5, 60);

	private static final int RUNS = 20;

	@Override
	public boolean run(long seed, ResultFiles results, PrintStream out) throws IOException {
		List<String> lines = new ArrayList<>();
		Map<String, Double> first = new LinkedHashMap<>();
		boolean complete = true;
		for (int perMinute : RATES) {
			for (int startSeconds : START_SECONDS) {
				for (ZoneRestart.Scheme scheme : ZoneRestart.Scheme.values()) {
					List<ZoneRestart.Result> runs = runs(scheme, perMinute, startSeconds, seed);
					complete &= runs.stream().allMatch(ZoneRestart.Result::isComplete);
					String name = scheme.name().toLowerCase(Locale.ROOT).replace('_', '-');
					lines.add(csvLine(perMinute + "," + startSeconds + "," + name, runs));
					out.println(lines.get(lines.size() - 1));
					first.put(name + " " + perMinute + "/min " + startSeconds + " s",
							quantile(runs, ZoneRestart.Result::firstSeconds, 0.5));
				}
			}
		}
		results.writeCsv("weights", HEADER, lines);
		results.writeBarChart("weights", "Seconds until each model has a server, median", first);
		out.printf(Locale.ROOT, "weights seed=%d runs=%d complete=%b%n", seed, RUNS, complete);
		return complete;
	}

	private static List<ZoneRestart.Result> runs(ZoneRestart.Scheme scheme, int perMinute, int startSeconds,
			long seed) {
		SplittableRandom seeds = new SplittableRandom(seed);
		List<ZoneRestart.Result> runs = new ArrayList<>();
		for (int i = 0; i < RUNS; i++) {
			runs.add(new ZoneRestart(scheme, perMinute, startSeconds, seeds.nextLong()).run());
		}
		return runs;
	}

	private static String csvLine(String labels, List<ZoneRestart.Result> runs) {
		return String.format(Locale.ROOT, "%s,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f", labels,
				quantile(runs, ZoneRestart.Result::firstSeconds, 0.5),
				quantile(runs, ZoneRestart.Result::firstSeconds, 1),
				quantile(runs, ZoneRestart.Result::allSeconds, 0.5), quantile(runs, ZoneRestart.Result::allSeconds, 1),
				quantile(runs, ZoneRestart.Result::refused, 0.5), quantile(runs, ZoneRestart.Result::refused, 1),
				quantile(runs, ZoneRestart.Result::peakPerSecond, 0.5), quantile(runs, ZoneRestart.Result::reads, 0.5),
				quantile(runs, ZoneRestart.Result::writes, 0.5));
	}

	private static double quantile(List<ZoneRestart.Result> runs, ToDoubleFunction<ZoneRestart.Result> value,
			double quantile) {
		double[] sorted = runs.stream().mapToDouble(value).toArray();
		Arrays.sort(sorted);
		return sorted[(int) Math.ceil(quantile * sorted.length) - 1];
	}

}
