package io.verbenacleat.bench.routing;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.verbenacleat.bench.Experiment;
import io.verbenacleat.bench.ResultFiles;

/**
 * Compares policies that select backend servers, on the same requests. Reports the time
 * to first token, the time between tokens, the cache hit rate and the spread of load.
 * Stateless.
 */
public final class RoutingExperiment implements Experiment {

	private static final double FIRST_TOKEN_GOAL_MS = 950;

	private static final double BETWEEN_TOKENS_GOAL_MS = 69;

	/**
	 * The request rate per server at the peak of the target scale: 3,500 requests/s on
	 * 600 servers.
	 */
	private static final double CAPACITY_PER_SERVER = 3_500.0 / 600;

	private static final int PARALLEL_RUNS = 4;

	private static final List<RoutingCase> CASES = List.of(new RoutingCase("50%", 0.5, false, false),
			new RoutingCase("80%", 0.8, false, false), new RoutingCase("100%", 1, false, false),
			new RoutingCase("150%", 1.5, false, false), new RoutingCase("80%-slow-server", 0.8, true, false),
			new RoutingCase("80%-lost-server", 0.8, false, true));

	@Override
	public boolean run(long seed, ResultFiles results, PrintStream out) throws IOException {
		Map<String, Map<String, RoutingStatistics>> statistics = runAll(seed);
		List<String> lines = new ArrayList<>();
		statistics.forEach((name, byPolicy) -> byPolicy.forEach((policy, run) -> lines.add(run.csvLine(name, policy))));
		results.writeCsv("routing", RoutingStatistics.HEADER, lines);
		out.println(RoutingStatistics.HEADER);
		lines.forEach(out::println);
		Map<String, Double> bars = new LinkedHashMap<>();
		statistics.getOrDefault("100%", Map.of()).forEach((policy, run) -> bars.put(policy, run.firstTokenMs(95)));
		results.writeBarChart("routing", "Time to first token at full load, p95 in ms", bars);
		out.println("routing seed=" + seed + " " + summary(statistics));
		return true;
	}

	private static Map<String, Map<String, RoutingStatistics>> runAll(long seed) {
		ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_RUNS);
		try {
			Map<String, Map<String, CompletableFuture<RoutingStatistics>>> runs = new LinkedHashMap<>();
			for (RoutingCase routingCase : CASES) {
				List<PromptRequest> requests = requests(seed, routingCase);
				Map<String, CompletableFuture<RoutingStatistics>> byPolicy = new LinkedHashMap<>();
				Policies.all()
					.forEach((name, factory) -> byPolicy.put(name, CompletableFuture
						.supplyAsync(() -> new RoutingRun(routingCase, factory, seed).run(requests), threads)));
				runs.put(routingCase.name(), byPolicy);
			}
			Map<String, Map<String, RoutingStatistics>> statistics = new LinkedHashMap<>();
			runs.forEach((name, byPolicy) -> {
				Map<String, RoutingStatistics> ended = new LinkedHashMap<>();
				byPolicy.forEach((policy, run) -> ended.put(policy, run.join()));
				statistics.put(name, ended);
			});
			return statistics;
		}
		finally {
			threads.shutdownNow();
		}
	}

	private static List<PromptRequest> requests(long seed, RoutingCase routingCase) {
		double perSecond = routingCase.load() * CAPACITY_PER_SERVER * RoutingRun.SERVERS;
		return new PromptGenerator(seed).generate(perSecond, RoutingRun.DURATION_US, RoutingRun.ENTRIES);
	}

	private static String summary(Map<String, Map<String, RoutingStatistics>> statistics) {
		Map<String, Integer> met = new LinkedHashMap<>();
		statistics.forEach((name, byPolicy) -> {
			RoutingStatistics baseline = byPolicy.get(Policies.LEAST_LOADED);
			byPolicy.forEach((policy, run) -> {
				boolean reached = run.firstTokenMs(95) <= FIRST_TOKEN_GOAL_MS
						&& run.betweenTokensMs() <= BETWEEN_TOKENS_GOAL_MS && baseline != null
						&& run.hitPercent() > baseline.hitPercent();
				met.merge(policy, (reached) ? 1 : 0, Integer::sum);
			});
		});
		StringBuilder text = new StringBuilder("cases with all goals met, of " + statistics.size() + ":");
		met.forEach((policy, count) -> text.append(String.format(Locale.ROOT, " %s=%d", policy, count)));
		return text.toString();
	}

}
