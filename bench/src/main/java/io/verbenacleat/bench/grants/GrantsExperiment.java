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
 * Compares schemes of budget grants on the same requests and faults: overspend, false
 * refusals, tokens out of reach and the load on the table service. Stateless.
 */
public final class GrantsExperiment implements Experiment {

	private static final String HEADER = "scheme,overspend_tokens,overcommit_tokens,false_pct,false_tokens_pct,"
			+ "false_connected_pct,false_cut_pct,false_last5pct_pct,avoidable_pct,avoidable_connected_pct,"
			+ "avoidable_cut_pct,out_of_reach_tokens,reads_per_s,account_writes_per_s,journal_writes_per_s";

	private static final Duration RUN = Duration.ofHours(6);

	/** Each run keeps its whole table store in memory. */
	private static final int PARALLEL_RUNS = 3;

	private static final double MAX_CONNECTED_PERCENT = 0.1;

	private final Duration duration;

	/**
	 * Creates the experiment with runs of six simulated hours.
	 */
	public GrantsExperiment() {
		this(RUN);
	}

	GrantsExperiment(Duration duration) {
		this.duration = duration;
	}

	@Override
	public boolean run(long seed, ResultFiles results, PrintStream out) throws IOException {
		Work work = new WorkGenerator(seed, this.duration.toMillis()).generate();
		List<String> lines = new ArrayList<>();
		List<String> causes = new ArrayList<>();
		Map<String, Double> falsePercent = new LinkedHashMap<>();
		long overspentTokens = 0;
		double bestConnectedPercent = 100;
		for (Outcome outcome : outcomes(work)) {
			Tally tally = outcome.tally();
			overspentTokens += tally.overspentTokens() + tally.overcommittedTokens();
			falsePercent.put(outcome.name(), tally.connected.plus(tally.cut).falsePercent());
			if (outcome.name().startsWith("adaptive")) {
				bestConnectedPercent = Math.min(bestConnectedPercent, tally.connected.falsePercent());
			}
			String line = line(outcome.name(), tally, outcome.load());
			lines.add(line);
			out.println(line);
			tally.falseByCause.forEach((cause, count) -> causes.add(outcome.name() + "," + cause + "," + count));
		}
		results.csv("grants", HEADER, lines);
		results.csv("grants-causes", "scheme,cause,refusals", causes);
		results.bars("grants", "False refusals, % of requests", falsePercent);
		out.printf(Locale.ROOT, "grants seed=%d requests=%d overspend=%d goal: %s%n", seed, work.requests().size(),
				overspentTokens, goal(falsePercent, bestConnectedPercent));
		return overspentTokens == 0;
	}

	private static List<Outcome> outcomes(Work work) {
		ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_RUNS);
		try {
			return schemes().entrySet()
				.stream()
				.map((entry) -> CompletableFuture.supplyAsync(() -> run(work, entry.getKey(), entry.getValue()),
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

	private static Outcome run(Work work, String name, BiFunction<Work, ManualControlThread, BudgetScheme> scheme) {
		Replay replay = new Replay(work, scheme);
		Tally tally = replay.run();
		return new Outcome(name, tally, replay.scheme().load());
	}

	private static String goal(Map<String, Double> falsePercent, double connectedPercent) {
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

	private String line(String name, Tally tally, TableLoad load) {
		Tally.Share all = tally.connected.plus(tally.cut);
		double seconds = this.duration.toSeconds();
		return String.format(Locale.ROOT, "%s,%d,%d,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.0f,%.2f,%.2f,%.2f", name,
				tally.overspentTokens(), tally.overcommittedTokens(), all.falsePercent(), all.falseTokenPercent(),
				tally.connected.falsePercent(), tally.cut.falsePercent(), tally.nearlyUsedUp.falsePercent(),
				all.avoidablePercent(), tally.connected.avoidablePercent(), tally.cut.avoidablePercent(),
				tally.outOfReachSum / Math.max(1, tally.outOfReachSamples), load.reads() / seconds,
				load.accountWrites() / seconds, load.journalWrites() / seconds);
	}

	private static Map<String, BiFunction<Work, ManualControlThread, BudgetScheme>> schemes() {
		Map<String, BiFunction<Work, ManualControlThread, BudgetScheme>> schemes = new LinkedHashMap<>();
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

	private static BiFunction<Work, ManualControlThread, BudgetScheme> ledger(GrantPolicy policy) {
		return (work, control) -> new LedgerScheme(work, control, policy);
	}

	private record Outcome(String name, Tally tally, TableLoad load) {
	}

}
