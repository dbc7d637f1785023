package io.verbenacleat.bench.grants;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiFunction;

import io.verbenacleat.bench.Experiment;
import io.verbenacleat.bench.ResultFiles;
import io.verbenacleat.core.config.BudgetConfig;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.entry.budget.AdaptiveGrantPolicy;
import io.verbenacleat.entry.budget.FixedGrantPolicy;
import io.verbenacleat.entry.budget.GrantPolicy;

/**
 * Compares schemes of budget grants on the same requests and faults. Reports overspend,
 * false refusals, unreachable tokens and the load on the table service. Immutable.
 */
public final class GrantsExperiment implements Experiment {

	private static final String HEADER = "scheme,overspend_tokens,overcommit_tokens,false_pct,false_tokens_pct,"
			+ "false_connected_pct,false_cut_pct,false_last5pct_pct,avoidable_pct,avoidable_connected_pct,"
			+ "avoidable_cut_pct,out_of_reach_tokens,reads_per_s,account_writes_per_s,journal_writes_per_s";

	private static final Duration RUN_DURATION = Duration.ofHours(6);

	/** Limits memory use, because each run holds its whole table store in memory. */
	private static final int PARALLEL_RUNS = 3;

	private static final double MAX_CONNECTED_PERCENT = 0.1;

	private final Duration duration;

	/**
	 * Creates the experiment with runs of six simulated hours.
	 */
	public GrantsExperiment() {
		this(RUN_DURATION);
	}

	GrantsExperiment(Duration duration) {
		this.duration = duration;
	}

	@Override
	public boolean run(long seed, ResultFiles results, PrintStream out) throws IOException {
		Workload workload = new WorkloadGenerator(seed, this.duration.toMillis()).generate();
		List<String> lines = new ArrayList<>();
		List<String> causes = new ArrayList<>();
		Map<String, Double> falsePercent = new LinkedHashMap<>();
		long overspentTokens = 0;
		double bestConnectedPercent = 100;
		for (Outcome outcome : outcomes(workload)) {
			RunStatistics statistics = outcome.statistics();
			overspentTokens += statistics.overspentTokens() + statistics.overcommittedTokens();
			falsePercent.put(outcome.name(), statistics.connected.plus(statistics.disconnected).falsePercent());
			if (outcome.name().startsWith("adaptive")) {
				bestConnectedPercent = Math.min(bestConnectedPercent, statistics.connected.falsePercent());
			}
			String line = csvLine(outcome.name(), statistics, outcome.load());
			lines.add(line);
			out.println(line);
			statistics.falseRefusalsByCause
				.forEach((cause, count) -> causes.add(outcome.name() + "," + cause + "," + count));
		}
		results.writeCsv("grants", HEADER, lines);
		results.writeCsv("grants-causes", "scheme,cause,refusals", causes);
		results.writeBarChart("grants", "False refusals, % of requests", falsePercent);
		out.printf(Locale.ROOT, "grants seed=%d requests=%d overspend=%d goal: %s%n", seed, workload.requests().size(),
				overspentTokens, goalSummary(falsePercent, bestConnectedPercent));
		return overspentTokens == 0;
	}

	private static List<Outcome> outcomes(Workload workload) {
		ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_RUNS);
		try {
			return schemes().entrySet()
				.stream()
				.map((entry) -> CompletableFuture.supplyAsync(() -> run(workload, entry.getKey(), entry.getValue()),
						threads))
				.toList()
				.stream()
				.map(CompletableFuture::join)
				.toList();
		}
		finally {
			threads.shutdownNow();
		}
	}

	private static Outcome run(Workload workload, String name,
			BiFunction<Workload, ManualControlThread, BudgetScheme> scheme) {
		Replay replay = new Replay(workload, scheme);
		RunStatistics statistics = replay.run();
		return new Outcome(name, statistics, replay.scheme().tableLoad());
	}

	private static String goalSummary(Map<String, Double> falsePercent, double connectedPercent) {
		double baseline = falsePercent.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith("static") || entry.getKey().startsWith("fixed"))
			.mapToDouble(Map.Entry::getValue)
			.min()
			.orElse(0);
		double adaptive = falsePercent.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith("adaptive"))
			.mapToDouble(Map.Entry::getValue)
			.min()
			.orElse(0);
		boolean reached = adaptive <= baseline / 10 && connectedPercent < MAX_CONNECTED_PERCENT;
		return String.format(Locale.ROOT, "%s (false %.3f%% against %.3f%% of the best baseline, connected %.3f%%)",
				(reached) ? "reached" : "missed", adaptive, baseline, connectedPercent);
	}

	private String csvLine(String name, RunStatistics statistics, TableLoad load) {
		RunStatistics.RefusalCounts all = statistics.connected.plus(statistics.disconnected);
		double seconds = this.duration.toSeconds();
		return String.format(Locale.ROOT, "%s,%d,%d,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.0f,%.2f,%.2f,%.2f", name,
				statistics.overspentTokens(), statistics.overcommittedTokens(), all.falsePercent(),
				all.falseTokenPercent(), statistics.connected.falsePercent(), statistics.disconnected.falsePercent(),
				statistics.nearlyExhausted.falsePercent(), all.avoidablePercent(),
				statistics.connected.avoidablePercent(), statistics.disconnected.avoidablePercent(),
				statistics.outOfReachSum / Math.max(1, statistics.outOfReachSamples), load.reads() / seconds,
				load.accountWrites() / seconds, load.journalWrites() / seconds);
	}

	private static Map<String, BiFunction<Workload, ManualControlThread, BudgetScheme>> schemes() {
		Map<String, BiFunction<Workload, ManualControlThread, BudgetScheme>> schemes = new LinkedHashMap<>();
		schemes.put("table-check", TableCheckScheme::new);
		schemes.put("static-split", StaticSplitScheme::new);
		for (long tokens : List.of(4_000L, 20_000L, 100_000L)) {
			schemes.put("fixed-" + tokens, ledger(new FixedGrantPolicy(tokens)));
		}
		for (BudgetConfig.Preset preset : BudgetConfig.Preset.values()) {
			String name = preset.name().toLowerCase(Locale.ROOT);
			schemes.put("adaptive-" + name, ledger(AdaptiveGrantPolicy.of(preset)));
		}
		return schemes;
	}

	private static BiFunction<Workload, ManualControlThread, BudgetScheme> ledger(GrantPolicy policy) {
		return (workload, control) -> new LedgerScheme(workload, control, policy);
	}

	private record Outcome(String name, RunStatistics statistics, TableLoad load) {
	}

}
