package io.verbenacleat.bench.evenload;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.verbenacleat.bench.Experiment;
import io.verbenacleat.bench.ResultFiles;
import io.verbenacleat.bench.evenload.LoadCase.EngineSpeed;
import io.verbenacleat.bench.evenload.LoadCase.Faults;
import io.verbenacleat.router.balance.ExpectedTimeSelection.Weights;

/**
 * Compares policies of the router that select backend servers from old load reports.
 * Stateless.
 */
public final class EvenLoadExperiment implements Experiment {

	private static final int PARALLEL_RUNS = 3;

	private static final long DURATION_US = 15_000_000;

	static final EngineSpeed FAST = new EngineSpeed(3_550, 60, 157);

	private static final EngineSpeed SLOW = new EngineSpeed(4_700, 60, 52);

	static final List<PromptKind> KINDS_A = List.of(new PromptKind(6_300, 2_890, 112, 187 / 30.0, 315, 48),
			new PromptKind(198, 628, 576, 161 / 30.0, 257, 24));

	private static final List<PromptKind> KINDS_B = List.of(new PromptKind(6_300, 2_890, 144, 52 / 29.0, 1_215, 48),
			new PromptKind(198, 628, 784, 177 / 29.0, 407, 24));

	@Override
	public boolean run(long seed, ResultFiles results, PrintStream out) throws IOException {
		List<String> lines = new ArrayList<>();
		ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_RUNS);
		try {
			List<CompletableFuture<String>> runs = new ArrayList<>();
			for (LoadCase loadCase : cases()) {
				for (Contender contender : contenders()) {
					runs.add(CompletableFuture.supplyAsync(() -> {
						LoadStatistics statistics = new LoadRun(loadCase, contender, seed).run();
						return statistics.csvLine(loadCase.name(), contender.name());
					}, threads));
				}
			}
			out.println(LoadStatistics.HEADER);
			for (CompletableFuture<String> run : runs) {
				lines.add(run.join());
				out.println(lines.get(lines.size() - 1));
			}
		}
		finally {
			threads.shutdownNow();
		}
		results.writeCsv("even-load", LoadStatistics.HEADER, lines);
		out.println("even-load seed=" + seed + " runs=" + lines.size());
		return true;
	}

	private static List<LoadCase> cases() {
		return List.of(new LoadCase("4x8 a", 4, 8, FAST, KINDS_A, 1.25, Faults.NONE, DURATION_US),
				new LoadCase("22x30 a", 22, 30, FAST, KINDS_A, 1.25, Faults.NONE, DURATION_US),
				new LoadCase("22x30 a lost reports", 22, 30, FAST, KINDS_A, 1.25, new Faults(0.5, 0, false, false),
						DURATION_US),
				new LoadCase("22x30 b", 22, 30, SLOW, KINDS_B, 0.8, Faults.NONE, DURATION_US),
				new LoadCase("240x600 a", 240, 600, FAST, KINDS_A, 1, Faults.NONE, DURATION_US / 3));
	}

	private static List<Contender> contenders() {
		Weights weights = Weights.DEFAULT;
		return List.of(Contender.present(), Contender.simple("last-report", SimpleSelection.Rule.LAST_REPORT),
				Contender.simple("two-choices", SimpleSelection.Rule.TWO_CHOICES),
				Contender.simple("choices-by-age", SimpleSelection.Rule.CHOICES_BY_AGE),
				Contender.simple("rotation", SimpleSelection.Rule.ROTATION),
				Contender.expected("expected-time", weights, false),
				Contender.expected("expected-time; reports told", weights, true),
				Contender.expected("expected-time; no affinity",
						new Weights(weights.unread(), weights.recent(), weights.requests(), 0, 0), false),
				Contender.expected("expected-time; fixed replicas",
						new Weights(weights.unread(), weights.recent(), weights.requests(), weights.affinity(), 0),
						false),
				Contender.expected("expected-time; no own sends",
						new Weights(0, 0, weights.requests(), weights.affinity(), weights.replicas()), false));
	}

}
